// Guards against a JSON document that takes far more memory or stack than its own size: nested very deeply, or made of
// very many small values.

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Json.h"

#include <gtest/gtest.h>

using namespace pomelowind;

namespace {

std::string repeated(const std::string& text, size_t n)
{
    std::string out;
    for (size_t i = 0; i < n; ++i)
        out += text;
    return out;
}

}

TEST(OversizedDocumentsAreRefused, NestedDeeply)
{
    EXPECT_NO_THROW(base::parseJson(repeated("[", 60) + repeated("]", 60)));
    EXPECT_THROW(base::parseJson(repeated("[", 100) + repeated("]", 100)), base::UserError);
    EXPECT_THROW(base::parseJson(repeated("[", 4000000)), base::UserError);
    EXPECT_THROW(base::parseJson(repeated("{\"a\":", 1000000)), base::UserError);
    EXPECT_THROW(base::parseJson(repeated("\"\"[", 1000000)), base::UserError) << "brackets between strings";
}

TEST(OversizedDocumentsAreRefused, MadeOfVeryManyValues)
{
    EXPECT_NO_THROW(base::parseJson("[" + repeated("[],", 200000) + "1]"));
    EXPECT_THROW(base::parseJson("[" + repeated("[],", 2000000) + "1]"), base::UserError);
}

TEST(OversizedDocumentsAreRefused, BracketsInStringsDoNotCount)
{
    auto text = "\"" + repeated("[\\\"{,", 100000) + "\"";
    EXPECT_EQ(base::parseJson(text).get<std::string>().size(), 400000u);
}

TEST(OversizedDocumentsAreRefused, DocumentThatEndsInAnEscape)
{
    EXPECT_THROW(base::parseJson("\"\\"), base::UserError);
    EXPECT_THROW(base::parseJson("\\"), base::UserError);
    EXPECT_THROW(base::parseJson(""), base::UserError);
}
