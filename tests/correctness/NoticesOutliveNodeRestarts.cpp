// Guards against nodes of callers that forget what a target has said while it is missing from the lists, or that hold
// it against the target's next incarnation.

#include "pomelowind/targets/NoticeMemory.h"
#include "tests/support/Presences.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using targets::NoticeMemory;
using Rate = std::optional<double>;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);

wire::Presence incarnation(int64_t targetIncarnation)
{
    auto out = tests::target("t", "east");
    out.targetIncarnation = targetIncarnation;
    return out;
}

}

TEST(NoticesOutliveNodeRestarts, TargetThatWasMissingIsStillCappedAndLeaving)
{
    NoticeMemory memory;
    memory.record(incarnation(5), { 15.0, true }, T0);
    memory.retain({}, T0 + Millis(1000));
    EXPECT_TRUE(memory.leaving().empty());
    auto restarted = incarnation(5);
    restarted.incarnation = 7; // of the node beside the target
    memory.retain({ restarted }, T0 + Millis(20000));
    EXPECT_EQ(memory.leaving(), std::set<std::string> { "t" });
    EXPECT_EQ(memory.maxCallsPerSecond(restarted), Rate(15.0));
    memory.record(restarted, {}, T0 + Millis(21000));
    EXPECT_EQ(memory.maxCallsPerSecond(restarted), Rate()) << "a limit is lifted";
    EXPECT_EQ(memory.leaving(), std::set<std::string> { "t" }) << "a departure is not taken back";
}

TEST(NoticesOutliveNodeRestarts, NextIncarnationStartsAnew)
{
    NoticeMemory memory;
    memory.record(incarnation(5), { 15.0, true }, T0);
    memory.retain({ incarnation(9) }, T0);
    EXPECT_TRUE(memory.leaving().empty());
    EXPECT_EQ(memory.maxCallsPerSecond(incarnation(9)), Rate());
}
