// A template's route for large bodies runs at most once unless it says nothing, and may not say otherwise.

#include "pomelowind/base/Errors.h"
#include "pomelowind/config/Template.h"

#include <gtest/gtest.h>

using namespace pomelowind;

namespace {

std::string routeWith(const std::string& words)
{
    return "name: t\nroutes:\n  - { host: a.example, path: /photos, methods: [POST], service: s" + words + " }\n";
}

}

TEST(LargeBodyRoutesAreChecked, TheyAreNotIdempotent)
{
    auto route = config::parseTemplate(routeWith(", large_body: true")).routes.at(0);
    EXPECT_TRUE(route.largeBody);
    EXPECT_FALSE(route.idempotent);
    auto rendered = config::render(config::parseTemplate(routeWith(", large_body: true")), "a", {});
    EXPECT_TRUE(rendered.routes.at(0).largeBody);
    EXPECT_FALSE(config::parseTemplate(routeWith("")).routes.at(0).largeBody);
    EXPECT_THROW(config::parseTemplate(routeWith(", large_body: true, idempotent: true")), base::UserError);
}
