// Guards against a value from outside that ends its log line, forges another field or writes bytes that are no text.

#include "pomelowind/base/Log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace pomelowind;

TEST(LogValuesStayInTheirField, PlainValuesAndTextAreKept)
{
    EXPECT_EQ(base::quoteForLog("node-1/a.b"), "node-1/a.b");
    EXPECT_EQ(base::quoteForLog(""), "\"\"");
    EXPECT_EQ(base::quoteForLog("a b"), "\"a b\"");
    EXPECT_EQ(base::quoteForLog("búsqueda 漢 😀"), "\"búsqueda 漢 😀\"");
}

TEST(LogValuesStayInTheirField, QuotesControlCharactersAndUnreadableBytesAreEscaped)
{
    EXPECT_EQ(base::quoteForLog("x\"y"), "\"x\\\"y\"");
    EXPECT_EQ(base::quoteForLog("x\\"), "\"x\\\\\"");
    EXPECT_EQ(base::quoteForLog("x\r\nevent=forged"), "\"x\\x0d\\x0aevent=forged\"");
    EXPECT_EQ(base::quoteForLog("\x1b[2J"), "\"\\x1b[2J\"");
    EXPECT_EQ(base::quoteForLog("b\xc3"), "\"b\\xc3\"");
    EXPECT_EQ(base::quoteForLog("\xed\xa0\x80"), "\"\\xed\\xa0\\x80\"") << "a surrogate";
    EXPECT_EQ(base::quoteForLog("\xf4\x90\x80\x80"), "\"\\xf4\\x90\\x80\\x80\"") << "above U+10FFFF";
    EXPECT_EQ(base::quoteForLog(std::string("\0", 1)), "\"\\x00\"");
}

TEST(LogValuesStayInTheirField, EveryPairOfBytesIsWrittenAsText)
{
    for (int a = 0; a < 256; ++a) {
        for (int b = 0; b < 256; ++b) {
            auto quoted = base::quoteForLog(std::string { static_cast<char>(a), static_cast<char>(b) });
            EXPECT_EQ(quoted.find_first_of(std::string("\r\n\0", 3)), std::string::npos);
            EXPECT_NO_THROW(nlohmann::json(quoted).dump()) << "not UTF-8";
        }
    }
}
