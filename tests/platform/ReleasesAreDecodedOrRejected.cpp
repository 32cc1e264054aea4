// Tests that a configuration of the platform is either decoded completely or rejected as invalid input. Guards against
// applying a truncated or partly invalid document.

#include "platform/Release.h"
#include "pomelowind/base/Errors.h"
#include "pomelowind/config/Release.h"

#include <gtest/gtest.h>
#include <limits>
#include <nlohmann/json.hpp>

using namespace pomelowind;
using nlohmann::json;

namespace {

json route(const std::string& name, const std::string& prefix)
{
    return { { "name", name }, { "host", "a.example" }, { "path_prefix", prefix }, { "route_kind", "non_idempotent" },
        { "timeout_ms", 1200 }, { "target_latency_ms", 400 }, { "priority", 1 }, { "service", "desk" },
        { "max_attempts", 2 } };
}

json document()
{
    return { { "version", "r7" }, { "base_version", "r5" },
        { "routes", { route("one", "/one/"), route("two", "/two/") } },
        { "services",
            { { { "name", "desk" }, { "health_path", "/healthz" }, { "max_conns", 130 }, { "protocol", "h1" },
                { "tls", false } } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 67108864 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
}

bool isRejected(const json& body)
{
    try {
        config::validateRelease(platform::decodeRelease(body.dump()));
        return false;
    } catch (const base::UserError& e) {
        EXPECT_EQ(e.kind(), base::ErrorKind::InvalidInput);
        return true;
    }
}

}

TEST(ReleasesAreDecodedOrRejected, ValidReleaseIsDecoded)
{
    auto release = platform::decodeRelease(document().dump());
    config::validateRelease(release);
    EXPECT_EQ(release.header.number, 7);
    EXPECT_EQ(release.baseNumber, 5);
    ASSERT_EQ(release.routes.size(), 2u);
    EXPECT_EQ(release.routes[0].path, "/one/");
    EXPECT_FALSE(release.routes[0].idempotent);
    EXPECT_EQ(release.routes[0].objectiveMs, 400);
    EXPECT_EQ(release.routes[0].priority, 8) << "platform priority 1 is one below the highest, 9";
    EXPECT_EQ(release.document, document().dump());
}

TEST(ReleasesAreDecodedOrRejected, InvalidReleaseIsRejected)
{
    EXPECT_FALSE(isRejected(document()));
    auto withChange = [](auto change) {
        auto body = document();
        change(body);
        return body;
    };
    EXPECT_TRUE(isRejected(withChange([](json& it) { it["routes"][0]["service"] = "nobody"; })));
    EXPECT_TRUE(isRejected(withChange([](json& it) { it["routes"][0]["timeout_ms"] = 0; })));
    EXPECT_TRUE(isRejected(withChange([](json& it) { it["routes"][0]["timeout_ms"] = 600001; })));
    EXPECT_TRUE(isRejected(withChange([](json& it) { it["routes"][0]["target_latency_ms"] = 61200; })));
    EXPECT_FALSE(isRejected(withChange([](json& it) { it["routes"][0]["target_latency_ms"] = 61199; })));
    EXPECT_TRUE(isRejected(withChange([](json& it) { it["routes"][0]["path_prefix"] = "one/"; })));
    EXPECT_TRUE(isRejected(withChange([](json& it) { it["routes"][1]["path_prefix"] = "/one/"; })));
    EXPECT_TRUE(isRejected(withChange([](json& it) { it["version"] = 7; })));
    EXPECT_TRUE(isRejected(withChange([](json& it) { it.erase("limits"); })));
    EXPECT_TRUE(isRejected(withChange([](json& it) {
        it["routes"][0].erase("service");
        it["routes"][0]["weighted_split"] = { { { "service", "desk" }, { "weight", 0 } } };
    })));
    auto text = document().dump();
    for (size_t n = 0; n < text.size(); n += 7)
        EXPECT_THROW(platform::decodeRelease(text.substr(0, n)), base::UserError) << n;
}

TEST(ReleasesAreDecodedOrRejected, LimitsOfColdTargetsAreDecodedAndBounded)
{
    auto decode = [](const json& coldStart, const json& coldRate) {
        auto body = document();
        body["services"][0]["cold_start_s"] = coldStart;
        body["services"][0]["cold_per_s"] = coldRate;
        return platform::decodeRelease(body.dump()).services.at(0);
    };
    EXPECT_EQ(decode(3.0, 13.0).coldStartMs, 3000);
    EXPECT_EQ(decode(0.0001, 0.5).coldStartMs, 1);
    EXPECT_EQ(decode(3, 12.5).coldCallsPerSecond, 12.5);
    EXPECT_EQ(decode(nullptr, nullptr).coldCallsPerSecond, 0);
    auto without = platform::decodeRelease(document().dump()).services.at(0);
    EXPECT_EQ(without.coldStartMs, 0);
    EXPECT_EQ(without.coldCallsPerSecond, 0) << "no limit";
    auto isRejectedWith = [](const char* field, const json& value) {
        auto body = document();
        body["services"][0][field] = value;
        return isRejected(body);
    };
    EXPECT_FALSE(isRejectedWith("cold_start_s", 600));
    EXPECT_TRUE(isRejectedWith("cold_start_s", 600.1));
    EXPECT_TRUE(isRejectedWith("cold_start_s", -0.5));
    EXPECT_TRUE(isRejectedWith("cold_start_s", 1e300));
    EXPECT_TRUE(isRejectedWith("cold_start_s", "3"));
    EXPECT_FALSE(isRejectedWith("cold_per_s", 10000));
    EXPECT_TRUE(isRejectedWith("cold_per_s", 10001));
    EXPECT_TRUE(isRejectedWith("cold_per_s", -1));
    wire::Release notFinite;
    notFinite.header.number = 1;
    notFinite.services.emplace_back();
    notFinite.services[0].name = "s";
    notFinite.services[0].coldCallsPerSecond = std::numeric_limits<double>::quiet_NaN();
    EXPECT_THROW(config::validateRelease(notFinite), base::UserError);
}

TEST(ReleasesAreDecodedOrRejected, UploadRoutesHaveLargeBodiesAndAreNotIdempotent)
{
    auto body = document();
    body["routes"][0]["route_kind"] = "upload";
    auto release = platform::decodeRelease(body.dump());
    config::validateRelease(release);
    EXPECT_TRUE(release.routes[0].largeBody);
    EXPECT_FALSE(release.routes[0].idempotent);
    EXPECT_FALSE(release.routes[1].largeBody);
    body["routes"][0]["route_kind"] = "sometimes";
    EXPECT_TRUE(isRejected(body));
    release.routes[0].idempotent = true;
    EXPECT_THROW(config::validateRelease(release), base::UserError);
}
