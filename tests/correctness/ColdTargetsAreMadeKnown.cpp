// Guards against nodes that do not learn that a target has become cold, that take an old copy of its presence for news,
// or that publish presence more often than before where the configuration has no limit for cold targets.

#include "node/DistributionCore.h"
#include "tests/support/RecordedOutputs.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);
constexpr char EVACUATION_KEY[] = "evacuation/east";

class ColdTargetsAreMadeKnown : public testing::Test {
protected:
    ColdTargetsAreMadeKnown()
    {
        settings.id = "n";
        settings.dataCentre = "east";
        core = std::make_unique<node::DistributionCore>(settings, outputs, T0, 1000, 1);
    }

    // Applies a configuration whose service has the given rate, through a digest as a partitioned node does.
    void configure(double coldCallsPerSecond, std::vector<wire::Resource> others = {},
        std::vector<std::string> removed = {}, Millis at = Millis(0))
    {
        wire::Resource service;
        service.key = config::serviceKey("s");
        service.serviceResource.name = "s";
        service.serviceResource.coldStartMs = 3000;
        service.serviceResource.coldCallsPerSecond = coldCallsPerSecond;
        service.__isset.serviceResource = true;
        others.push_back(service);
        auto base = state.version();
        state = state.withChange(others, removed);
        wire::DigestAnswer answer;
        answer.version = state.version();
        answer.complete = true;
        answer.__set_delta(state.deltaSince(base));
        core->digestAnswered(base::encode(answer), T0 + at);
    }

    void announce(int64_t incarnation, int64_t sequence, std::optional<Millis> coldLeft, Millis at)
    {
        node::Announcement it;
        it.target = "t";
        it.serviceName = "s";
        it.version = "v1";
        it.address = { "10.0.0.9", 8080 };
        it.slots = 6;
        it.incarnation = incarnation;
        it.sequence = sequence;
        it.coldLeft = coldLeft;
        core->announce(it, T0 + at);
    }

    const wire::Presence& presence() const { return *core->directory().findTarget("t"); }

    node::NodeSettings settings;
    tests::RecordedOutputs outputs;
    config::ConfigState state;
    std::unique_ptr<node::DistributionCore> core;
};

}

TEST_F(ColdTargetsAreMadeKnown, WhenTheyBecomeColdAgain)
{
    configure(13);
    announce(5, 1, Millis(3000), Millis(0));
    EXPECT_EQ(presence().coldLeftMs, 3000);
    auto first = presence().sequence;
    announce(5, 2, Millis(1450), Millis(1500));
    announce(5, 3, Millis(0), Millis(3000));
    EXPECT_EQ(presence().sequence, first) << "what others know holds";
    EXPECT_EQ(outputs.local.at(0).receivedAt, T0 + Millis(3000)) << "the gate follows each announcement";
    announce(5, 4, Millis(2800), Millis(4500));
    EXPECT_GT(presence().sequence, first);
    EXPECT_EQ(presence().coldLeftMs, 2800);
    EXPECT_EQ(outputs.local.at(0).coldLeft, Millis(2800));
    EXPECT_EQ(outputs.view->targetsAt, T0 + Millis(4500));
}

TEST_F(ColdTargetsAreMadeKnown, WithoutALimitNothingIsPublishedAgain)
{
    configure(0);
    announce(5, 1, Millis(3000), Millis(0));
    auto first = presence().sequence;
    outputs.local.clear();
    announce(5, 2, Millis(0), Millis(1500));
    announce(5, 3, Millis(2800), Millis(3000));
    core->assumeCold(T0 + Millis(3500));
    EXPECT_EQ(presence().sequence, first);
    EXPECT_TRUE(outputs.local.empty());
}

TEST_F(ColdTargetsAreMadeKnown, AfterTheEndOfAnEvacuationUntilTheyReportZero)
{
    configure(13);
    announce(5, 1, Millis(0), Millis(0));
    EXPECT_EQ(presence().coldLeftMs, 0);
    configure(13, {}, { EVACUATION_KEY }, Millis(9000));
    EXPECT_EQ(presence().coldLeftMs, 3000);
    EXPECT_EQ(outputs.local.at(0).assumedColdAt, T0 + Millis(9000));
    auto sequence = presence().sequence;
    configure(26, {}, {}, Millis(9500));
    EXPECT_EQ(outputs.local.at(0).assumedColdAt, T0 + Millis(9000)) << "later versions do not renew it";
    announce(5, 2, Millis(200), Millis(10000));
    announce(5, 3, Millis(0), Millis(10500));
    EXPECT_GT(presence().sequence, sequence);
    EXPECT_EQ(presence().coldLeftMs, 0);
}

TEST_F(ColdTargetsAreMadeKnown, LateAnnouncementOfAnEarlierIncarnationEndsNothing)
{
    configure(13);
    announce(5, 7, Millis(0), Millis(0));
    announce(9, 1, Millis(3000), Millis(100));
    announce(5, 8, Millis(0), Millis(200));
    ASSERT_EQ(outputs.local.size(), 1u);
    EXPECT_EQ(outputs.local.at(0).incarnation, 9);
    EXPECT_EQ(outputs.local.at(0).coldLeft, Millis(3000));
    EXPECT_EQ(presence().coldLeftMs, 3000);
}

TEST_F(ColdTargetsAreMadeKnown, ALimitReachesGatesThatOpenedBeforeIt)
{
    wire::DigestAnswer directory;
    directory.complete = true;
    core->digestAnswered(base::encode(directory), T0);
    announce(5, 1, Millis(3000), Millis(0));
    EXPECT_FALSE(outputs.local.at(0).coldCallsPerSecond) << "nothing is known without a configuration";
    configure(13, {}, {}, Millis(100));
    EXPECT_EQ(outputs.local.at(0).coldCallsPerSecond, 13);
    EXPECT_EQ(outputs.local.at(0).serviceColdStart, Millis(3000));
}

TEST_F(ColdTargetsAreMadeKnown, CopiesThatArePassedOnLateMakeNoTargetCold)
{
    configure(13);
    announce(5, 1, Millis(3000), Millis(0));
    const auto& directory = core->directory();
    EXPECT_EQ(directory.allTargets(T0 + Millis(1000)).at(0).coldLeftMs, 2000);
    EXPECT_EQ(directory.allTargets(T0 + Millis(60000)).at(0).coldLeftMs, 0);
    nodes::Directory late;
    late.merge({}, directory.allTargets(T0 + Millis(60000)), T0 + Millis(60000));
    EXPECT_EQ(late.digest(), [&] {
        nodes::Directory early;
        early.merge({}, directory.allTargets(T0), T0);
        return early.digest();
    }()) << "directories that differ only in the age of their copies need no exchange";
}
