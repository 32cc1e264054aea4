// Guards against evacuation orders that take effect twice, that undo a later order because they were delayed, or that
// change what operators read back as their configuration.

#include "control/Views.h"
#include "tests/support/SingleControlHost.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace pomelowind;
using base::Millis;
using config::ANY_BASE_VERSION;
using wire::CommandKind;
using wire::ResultCode;

namespace {

wire::Command order(CommandKind::type kind, const std::string& dataCentre, const std::string& requestId = "")
{
    wire::Command out;
    out.kind = kind;
    out.name = dataCentre;
    out.requestId = requestId;
    out.baseVersion = ANY_BASE_VERSION;
    return out;
}

wire::NodeInfo node(const std::string& name, const std::string& dataCentre)
{
    wire::NodeInfo out;
    out.node = name;
    out.dataCentre = dataCentre;
    out.incarnation = 1;
    return out;
}

class EvacuationOrdersAreIdempotent : public testing::Test {
protected:
    EvacuationOrdersAreIdempotent() { host.core->setDataCentres({ "east", "west" }); }

    ResultCode::type start(const std::string& dataCentre, const std::string& requestId = "")
    {
        return host.submit(order(CommandKind::START_EVACUATION, dataCentre, requestId)).code;
    }
    ResultCode::type finish(const std::string& dataCentre)
    {
        return host.submit(order(CommandKind::FINISH_EVACUATION, dataCentre)).code;
    }
    std::set<std::string> evacuated() const { return host.core->machine().state().evacuatedDataCentres(); }

    tests::SingleControlHost host;
};

}

TEST_F(EvacuationOrdersAreIdempotent, ResentOrdersChangeNothing)
{
    EXPECT_EQ(start("east"), ResultCode::ACCEPTED);
    auto version = host.core->machine().state().version();
    EXPECT_EQ(start("east"), ResultCode::UNCHANGED);
    EXPECT_EQ(host.core->machine().state().version(), version);
    EXPECT_EQ(evacuated(), std::set<std::string> { "east" });
    EXPECT_EQ(finish("east"), ResultCode::ACCEPTED);
    EXPECT_EQ(finish("east"), ResultCode::UNCHANGED);
    EXPECT_EQ(finish("west"), ResultCode::UNCHANGED) << "was never started";
    EXPECT_EQ(evacuated(), std::set<std::string>());
    EXPECT_EQ(host.core->machine().audit().size(), 2u) << "one record for each change";
    EXPECT_EQ(host.core->machine().releaseNumber(), 0);
}

TEST_F(EvacuationOrdersAreIdempotent, SeveralDataCentresAtATime)
{
    EXPECT_EQ(start("east"), ResultCode::ACCEPTED);
    EXPECT_EQ(start("west"), ResultCode::ACCEPTED);
    EXPECT_EQ(finish("east"), ResultCode::ACCEPTED);
    EXPECT_EQ(evacuated(), std::set<std::string> { "west" });
}

TEST_F(EvacuationOrdersAreIdempotent, ResendWithTheSameRequestIdIsNoOtherSubmission)
{
    EXPECT_EQ(start("east", "r1"), ResultCode::ACCEPTED);
    EXPECT_EQ(start("east", "r1"), ResultCode::ACCEPTED) << "its base version differs from the first";
}

TEST_F(EvacuationOrdersAreIdempotent, DelayedOrderDoesNotUndoALaterOne)
{
    auto late = order(CommandKind::START_EVACUATION, "east", "late");
    late.baseVersion = 0;
    EXPECT_EQ(start("east"), ResultCode::ACCEPTED);
    EXPECT_EQ(finish("east"), ResultCode::ACCEPTED);
    EXPECT_EQ(host.submit(late).code, ResultCode::UNAVAILABLE);
    EXPECT_EQ(evacuated(), std::set<std::string>());
    late.baseVersion = ANY_BASE_VERSION;
    EXPECT_EQ(host.submit(late).code, ResultCode::ACCEPTED) << "sent again, it is a new order";
}

TEST_F(EvacuationOrdersAreIdempotent, UnknownAndMalformedDataCentresChangeNothing)
{
    auto version = host.core->machine().state().version();
    auto unknown = host.submit(order(CommandKind::START_EVACUATION, "north"));
    EXPECT_EQ(unknown.code, ResultCode::NOT_FOUND);
    EXPECT_NE(unknown.remedy.find("east, west"), std::string::npos) << unknown.remedy;
    EXPECT_EQ(finish("north"), ResultCode::NOT_FOUND);
    for (const auto* it : { "", "ea st", "east/..", "\xff" })
        EXPECT_EQ(start(it), ResultCode::INVALID) << it;
    EXPECT_EQ(host.core->machine().state().version(), version);
}

TEST_F(EvacuationOrdersAreIdempotent, EvacuationOfARemovedDataCentreCanBeFinished)
{
    EXPECT_EQ(start("east"), ResultCode::ACCEPTED);
    host.core->setDataCentres({ "west" });
    EXPECT_EQ(finish("east"), ResultCode::ACCEPTED);
    EXPECT_EQ(start("east"), ResultCode::NOT_FOUND);
}

TEST_F(EvacuationOrdersAreIdempotent, WithoutTheSettingTheDirectoryNamesTheDataCentres)
{
    host.core->setDataCentres({});
    EXPECT_EQ(start("east"), ResultCode::UNAVAILABLE) << "its nodes may not have reported yet";
    wire::Report report;
    report.nodes = { node("n1", "east") };
    host.core->handleNodeFrame("n1", links::FrameKind::REPORT, base::encode(report), host.now, 1);
    EXPECT_EQ(start("east"), ResultCode::ACCEPTED);
    host.advance(Millis(11000));
    host.advance(Millis(100));
    EXPECT_EQ(start("north"), ResultCode::NOT_FOUND);
}

TEST_F(EvacuationOrdersAreIdempotent, StatusCountsTheNodesThatApplyIt)
{
    EXPECT_EQ(start("east"), ResultCode::ACCEPTED);
    wire::Report report;
    report.nodes = { node("n1", "east"), node("n2", "west") };
    wire::NodeAck ack;
    ack.node = "n1";
    ack.version = host.core->machine().state().version();
    report.acks = { ack };
    host.core->handleNodeFrame("n1", links::FrameKind::REPORT, base::encode(report), host.now, 1);
    auto shown = [&] {
        auto status = control::renderView(*host.core, operators::View::Status, "", 0);
        return nlohmann::json::parse(status.json).at("evacuations");
    };
    ASSERT_EQ(shown().size(), 1u);
    EXPECT_EQ(shown()[0].at("summary"), "in force 1 of 2");
    EXPECT_EQ(shown()[0].at("missing")[0].at("node"), "n2");
    EXPECT_EQ(finish("east"), ResultCode::ACCEPTED);
    ASSERT_EQ(shown().size(), 1u) << "shown until all nodes know that it has ended";
    EXPECT_EQ(shown()[0].at("state"), "finished");
    for (auto& it : { "n1", "n2" }) {
        ack.node = it;
        ack.version = host.core->machine().state().version();
        report.acks = { ack };
        host.core->handleNodeFrame("n1", links::FrameKind::REPORT, base::encode(report), host.now, 1);
    }
    EXPECT_TRUE(shown().empty());
}
