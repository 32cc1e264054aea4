// Guards against evacuations that a snapshot, a release or the delta to a node loses.

#include "pomelowind/base/Wire.h"
#include "pomelowind/config/ConfigMachine.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using wire::CommandKind;
using wire::ResultCode;
using Names = std::set<std::string>;

namespace {

class EvacuationsSurviveSnapshots : public testing::Test {
protected:
    ResultCode::type apply(CommandKind::type kind, const std::string& dataCentre)
    {
        wire::Command command;
        command.kind = kind;
        command.name = dataCentre;
        command.baseVersion = config::ANY_BASE_VERSION;
        return machine.apply(++index, command).code;
    }

    ResultCode::type submitRelease(int64_t number)
    {
        wire::Command command;
        command.kind = CommandKind::SUBMIT_RELEASE;
        command.baseVersion = number - 1;
        wire::Release release;
        release.header.number = number;
        release.baseNumber = number - 1;
        wire::ServiceSpec service;
        service.name = "desk";
        release.services = { service };
        release.document = "release " + std::to_string(number);
        command.__set_release(release);
        return machine.apply(++index, command).code;
    }

    config::ConfigMachine machine;
    int64_t index { 0 };
};

}

TEST_F(EvacuationsSurviveSnapshots, RestoredMachineEvacuatesTheSame)
{
    apply(CommandKind::START_EVACUATION, "east");
    apply(CommandKind::START_EVACUATION, "west");
    apply(CommandKind::FINISH_EVACUATION, "west");
    auto image = base::decode<wire::MachineImage>(base::encode(machine.image()));
    config::ConfigMachine restored;
    restored.restore(image);
    EXPECT_EQ(restored.state().evacuatedDataCentres(), Names { "east" });
    EXPECT_EQ(restored.state().hash(), machine.state().hash());
    EXPECT_EQ(restored.state().versionOf(config::evacuationKey("west")), 3) << "guards against delayed orders";
}

TEST_F(EvacuationsSurviveSnapshots, ReleasesNeitherEndNorSeeThem)
{
    ASSERT_EQ(submitRelease(1), ResultCode::ACCEPTED);
    apply(CommandKind::START_EVACUATION, "east");
    EXPECT_EQ(machine.releaseNumber(), 1);
    EXPECT_EQ(machine.releaseDocument(), "release 1");
    ASSERT_EQ(submitRelease(2), ResultCode::ACCEPTED);
    EXPECT_EQ(machine.state().evacuatedDataCentres(), Names { "east" });
}

TEST_F(EvacuationsSurviveSnapshots, DeltasCarryStartAndFinishToNodes)
{
    submitRelease(1);
    config::ConfigState node;
    auto receive = [&] {
        auto result = node.apply(machine.state().deltaSince(node.version()));
        ASSERT_TRUE(result.state) << result.detail;
        node = *result.state;
    };
    apply(CommandKind::START_EVACUATION, "east");
    receive();
    EXPECT_EQ(node.evacuatedDataCentres(), Names { "east" });
    EXPECT_EQ(node.subsetForServices({ "other" }).evacuatedDataCentres(), Names { "east" });
    apply(CommandKind::FINISH_EVACUATION, "east");
    receive();
    EXPECT_EQ(node.evacuatedDataCentres(), Names());
    EXPECT_GT(node.subsetForServices({ "other" }).versionOf(config::evacuationKey("east")), 0);
}
