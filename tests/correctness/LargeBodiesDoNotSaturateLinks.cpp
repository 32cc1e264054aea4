// Guards against large bodies that together saturate the link of a host, so that each arrives too late and small calls
// queue behind them. Only a bounded number of bytes may be in flight, and a body that would be late must not be sent.

#include "pomelowind/base/Random.h"
#include "pomelowind/targets/BodyIntake.h"

#include <gtest/gtest.h>
#include <map>

using namespace pomelowind;
using base::Millis;
using Lane = targets::BodyIntake::Lane;

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
    targets::BodyIntake intake;
    std::map<uint64_t, int64_t> queuedAt;
    std::vector<std::pair<uint64_t, size_t>> link;
    Result out;
    uint64_t next = 1;
    for (int64_t ms = 0; ms < OFFERED_MS + 2 * OBJECTIVE_MS; ++ms) {
        auto now = T0 + Millis(ms);
        if (ms < OFFERED_MS && random.bernoulli(bodiesPerSecond / 1000)) {
            ++out.offered;
            if (isBounded && !intake.isInTime(BODY, Millis(OBJECTIVE_MS), Lane::InTime)) {
                ++out.refused;
            } else if (isBounded) {
                queuedAt[next] = ms;
                intake.queue(next++, BODY, Lane::InTime);
            } else {
                queuedAt[next] = ms;
                link.emplace_back(next++, BODY);
            }
        }
        for (uint64_t id : intake.grant(now))
            link.emplace_back(id, BODY);
        size_t room = LINK_BYTES_PER_MS;
        while (room && !link.empty()) {
            auto& [id, remaining] = link.front();
            size_t n = std::min(room, remaining);
            room -= n;
            remaining -= n;
            intake.arrived(id, n, now);
            if (remaining)
                break;
            out.inTime += ms - queuedAt.at(id) <= OBJECTIVE_MS;
            link.erase(link.begin());
        }
        out.maxBytesInFlight = std::max(out.maxBytesInFlight, intake.bytesInFlight());
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
    targets::BodyIntake intake;
    for (uint64_t id = 1; id <= 10; ++id)
        intake.queue(id, BODY, Lane::InTime);
    auto first = intake.grant(T0);
    ASSERT_FALSE(first.empty());
    EXPECT_TRUE(intake.grant(T0).empty());
    for (uint64_t id : first)
        intake.dropped(id);
    intake.dropped(7);
    std::vector<uint64_t> grantedLater;
    for (auto granted = intake.grant(T0); !granted.empty(); granted = intake.grant(T0)) {
        for (uint64_t id : granted) {
            grantedLater.push_back(id);
            intake.dropped(id);
        }
    }
    EXPECT_EQ(grantedLater.size() + first.size(), 9u);
    EXPECT_EQ(intake.bytesInFlight(), 0u);
    intake.dropped(3);
    intake.arrived(3, 100, T0);
    EXPECT_EQ(intake.bytesInFlight(), 0u);
}

TEST(LargeBodiesDoNotSaturateLinks, LateBodiesWaitForBodiesThatCanArriveInTime)
{
    targets::BodyIntake intake;
    intake.queue(1, BODY, Lane::Late);
    intake.queue(2, BODY, Lane::Late);
    intake.queue(3, BODY, Lane::InTime);
    EXPECT_EQ(intake.grant(T0).front(), 3u);
    intake.queue(4, BODY, Lane::InTime);
    intake.arrived(3, BODY, T0 + Millis(50));
    EXPECT_EQ(intake.grant(T0).front(), 4u);
    // Queued late bodies do not delay bodies that can arrive in time.
    for (uint64_t id = 5; id < 100; ++id)
        intake.queue(id, BODY, Lane::Late);
    EXPECT_TRUE(intake.isInTime(BODY, Millis(OBJECTIVE_MS), Lane::InTime));
    EXPECT_FALSE(intake.isInTime(BODY, Millis(OBJECTIVE_MS), Lane::Late));
}
