// Tests that a heartbeat is accepted only if every required field is present and has the right type.

#include "platform/TargetCalls.h"
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

TEST(HeartbeatsNameTargets, FieldsOfAValidOne)
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

TEST(HeartbeatsNameTargets, MalformedOnesNameNobody)
{
    auto refused = [](auto change) {
        auto body = heartbeat();
        change(body);
        EXPECT_THROW(platform::decodeHeartbeat("i-1", body.dump()), base::UserError) << body;
    };
    refused([](json& it) { it["status"]["state"] = "asleep"; });
    refused([](json& it) { it["status"]["sequence"] = "4"; });
    refused([](json& it) { it["status"].erase("state"); });
    refused([](json& it) { it["info"]["slots"] = 0; });
    refused([](json& it) { it["info"]["service"] = 7; });
    refused([](json& it) { it["born"] = 1.5; });
    refused([](json& it) { it["address"] = "nowhere"; });
    refused([](json& it) { it = json::array(); });
    EXPECT_THROW(platform::decodeHeartbeat("i-1", "{\"address\":"), base::UserError);
}
