// Tests that a heartbeat is accepted only if every required field is present and has the right type.

#include "platform/InstanceHandler.h"
#include "pomelowind/base/Errors.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace pomelowind;
using nlohmann::json;

namespace {

json heartbeat()
{
    return { { "address", "10.0.0.9:8080" }, { "born", 1700000000000 },
        { "info", { { "service", "desk" }, { "version", "v1" }, { "zone", "east" }, { "slots", 6 } } },
        { "status", { { "state", "ready" }, { "sequence", 4 }, { "cold_left_ms", 1200 } } } };
}

}

TEST(HeartbeatsAreDecodedOrRejected, ValidHeartbeatIsDecoded)
{
    auto it = platform::decodeHeartbeat("i-1", heartbeat().dump());
    EXPECT_EQ(it.target, "i-1");
    EXPECT_EQ(it.address, (base::Address { "10.0.0.9", 8080 }));
    EXPECT_EQ(it.incarnation, 1700000000000);
    EXPECT_EQ(it.sequence, 4);
    EXPECT_EQ(it.slots, 6);
    EXPECT_EQ(it.state, wire::TargetState::SERVING);
    EXPECT_EQ(it.coldLeft, base::Millis(1200));
}

TEST(HeartbeatsAreDecodedOrRejected, MalformedHeartbeatIsRejected)
{
    auto expectRejected = [](auto change) {
        auto body = heartbeat();
        change(body);
        EXPECT_THROW(platform::decodeHeartbeat("i-1", body.dump()), base::UserError) << body;
    };
    expectRejected([](json& it) { it["status"]["state"] = "asleep"; });
    expectRejected([](json& it) { it["status"]["sequence"] = "4"; });
    expectRejected([](json& it) { it["status"].erase("state"); });
    expectRejected([](json& it) { it["info"]["slots"] = 0; });
    expectRejected([](json& it) { it["info"]["service"] = 7; });
    expectRejected([](json& it) { it["born"] = 1.5; });
    expectRejected([](json& it) { it["address"] = "nowhere"; });
    expectRejected([](json& it) { it = json::array(); });
    EXPECT_THROW(platform::decodeHeartbeat("i-1", "{\"address\":"), base::UserError);
}

TEST(HeartbeatsAreDecodedOrRejected, DeregistrationNamesItsIncarnationOrNone)
{
    EXPECT_EQ(platform::decodeDeregistration(R"({"born":1700000000000})"), 1700000000000);
    EXPECT_EQ(platform::decodeDeregistration("{}"), std::nullopt);
    EXPECT_EQ(platform::decodeDeregistration(""), std::nullopt);
    for (const char* body : { "[]", "{", "7", R"({"born":"1"})", R"({"born":-1})", R"({"born":1.5})", "\xff" })
        EXPECT_THROW(platform::decodeDeregistration(body), base::UserError) << body;
}
