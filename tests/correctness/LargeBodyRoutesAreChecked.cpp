// Large request bodies are not kept for a retry. A template's route with large_body must therefore be non-idempotent by
// default, and declaring it idempotent must be an error.

#include "pomelowind/base/Errors.h"
#include "pomelowind/config/Template.h"

#include <gtest/gtest.h>

using namespace pomelowind;

namespace {

std::string routeWith(const std::string& fields)
{
    return "name: t\nroutes:\n  - { host: a.example, path: /photos, methods: [POST], service: s" + fields + " }\n";
}

}

TEST(LargeBodyRoutesAreChecked, AreNotIdempotentByDefaultAndMayNotBeDeclaredIdempotent)
{
    auto route = config::parseTemplate(routeWith(", large_body: true")).routes.at(0);
    EXPECT_TRUE(route.largeBody);
    EXPECT_FALSE(route.idempotent);
    auto rendered = config::render(config::parseTemplate(routeWith(", large_body: true")), "a", {});
    EXPECT_TRUE(rendered.routes.at(0).largeBody);
    EXPECT_FALSE(config::parseTemplate(routeWith("")).routes.at(0).largeBody);
    EXPECT_THROW(config::parseTemplate(routeWith(", large_body: true, idempotent: true")), base::UserError);
}
