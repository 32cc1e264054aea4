// Guards against large bodies that together saturate the link of a host, so that each arrives too late and small calls
// queue behind them. Only a bounded number of bytes may be in flight, and a body that would be late must not be sent.

#include "pomelowind/base/Random.h"
#include "pomelowind/targets/BodyFlowControl.h"

#include <gtest/gtest.h>
#include <map>

using namespace pomelowind;
using base::Millis;
using Lane = targets::BodyFlowControl::Lane;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);
constexpr size_t BODY = 60 * 1024;
constexpr size_t LINK_BYTES_PER_MS = 1375; // 11 Mbit/s
constexpr int64_t OBJECTIVE_MS = 800;
constexpr int64_t OFFERED_MS = 20000;

struct Result {
    int offered { 0 };
    int refused { 0 };
    int inTime { 0 };
    size_t maxBytesInFlight { 0 };
};

// Simulates a link that carries granted bodies in order, while new bodies are offered at a fixed rate.
Result simulate(double bodiesPerSecond, bool isBounded)
{
    base::Random random(3);
    targets::BodyFlowControl flowControl;
    std::map<uint64_t, int64_t> queuedAt;
    std::vector<std::pair<uint64_t, size_t>> link;
    Result out;
    uint64_t next = 1;
    for (int64_t ms = 0; ms < OFFERED_MS + 2 * OBJECTIVE_MS; ++ms) {
        auto now = T0 + Millis(ms);
        if (ms < OFFERED_MS && random.bernoulli(bodiesPerSecond / 1000)) {
            ++out.offered;
            if (isBounded && !flowControl.canArriveInTime(BODY, Millis(OBJECTIVE_MS), Lane::InTime)) {
                ++out.refused;
            } else if (isBounded) {
                queuedAt[next] = ms;
                flowControl.enqueue(next++, BODY, Lane::InTime);
            } else {
                queuedAt[next] = ms;
                link.emplace_back(next++, BODY);
            }
        }
        for (uint64_t id : flowControl.grant(now))
            link.emplace_back(id, BODY);
        size_t room = LINK_BYTES_PER_MS;
        while (room && !link.empty()) {
            auto& [id, remaining] = link.front();
            size_t n = std::min(room, remaining);
            room -= n;
            remaining -= n;
            flowControl.onBytesReceived(id, n, now);
            if (remaining)
                break;
            out.inTime += ms - queuedAt.at(id) <= OBJECTIVE_MS;
            link.erase(link.begin());
        }
        out.maxBytesInFlight = std::max(out.maxBytesInFlight, flowControl.bytesInFlight());
    }
    return out;
}

}

TEST(LargeBodiesDoNotSaturateLinks, OverloadedLinkDeliversAcceptedBodiesInTime)
{
    // The link carries 22 bodies a second.
    auto bounded = simulate(35, true);
    auto unbounded = simulate(35, false);
    EXPECT_GT(bounded.inTime, 20 * 22 * 0.8);
    EXPECT_EQ(bounded.inTime + bounded.refused, bounded.offered) << "every accepted body must arrive in time";
    EXPECT_LT(unbounded.inTime, bounded.inTime / 4) << "without flow control nearly all bodies should be late";
    EXPECT_LE(bounded.maxBytesInFlight, 2 * BODY + 4096) << "a small call must not queue behind more bytes";
}

TEST(LargeBodiesDoNotSaturateLinks, IdleLinkRefusesNoBody)
{
    auto result = simulate(8, true);
    EXPECT_EQ(result.refused, 0);
    EXPECT_EQ(result.inTime, result.offered);
}

TEST(LargeBodiesDoNotSaturateLinks, DroppedBodiesFreeBytesInFlight)
{
    targets::BodyFlowControl flowControl;
    for (uint64_t id = 1; id <= 10; ++id)
        flowControl.enqueue(id, BODY, Lane::InTime);
    auto first = flowControl.grant(T0);
    ASSERT_FALSE(first.empty());
    EXPECT_TRUE(flowControl.grant(T0).empty());
    for (uint64_t id : first)
        flowControl.remove(id);
    flowControl.remove(7);
    std::vector<uint64_t> grantedLater;
    for (auto granted = flowControl.grant(T0); !granted.empty(); granted = flowControl.grant(T0)) {
        for (uint64_t id : granted) {
            grantedLater.push_back(id);
            flowControl.remove(id);
        }
    }
    EXPECT_EQ(grantedLater.size() + first.size(), 9u);
    EXPECT_EQ(flowControl.bytesInFlight(), 0u);
    flowControl.remove(3);
    flowControl.onBytesReceived(3, 100, T0);
    EXPECT_EQ(flowControl.bytesInFlight(), 0u);
}

TEST(LargeBodiesDoNotSaturateLinks, LateBodiesWaitForBodiesThatCanArriveInTime)
{
    targets::BodyFlowControl flowControl;
    flowControl.enqueue(1, BODY, Lane::Late);
    flowControl.enqueue(2, BODY, Lane::Late);
    flowControl.enqueue(3, BODY, Lane::InTime);
    EXPECT_EQ(flowControl.grant(T0).front(), 3u);
    flowControl.enqueue(4, BODY, Lane::InTime);
    flowControl.onBytesReceived(3, BODY, T0 + Millis(50));
    EXPECT_EQ(flowControl.grant(T0).front(), 4u);
    // Queued late bodies do not delay bodies that can arrive in time.
    for (uint64_t id = 5; id < 100; ++id)
        flowControl.enqueue(id, BODY, Lane::Late);
    EXPECT_TRUE(flowControl.canArriveInTime(BODY, Millis(OBJECTIVE_MS), Lane::InTime));
    EXPECT_FALSE(flowControl.canArriveInTime(BODY, Millis(OBJECTIVE_MS), Lane::Late));
}
