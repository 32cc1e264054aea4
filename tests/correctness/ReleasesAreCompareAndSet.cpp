// Release submissions are compare-and-set: of two with the same base one succeeds, a resend gets the same answer, and
// nodes receive only the difference.

#include "pomelowind/config/ConfigMachine.h"
#include "pomelowind/config/Release.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using wire::ResultCode;

namespace {

wire::Command submission(int64_t number, int64_t base, int routes, const std::string& note = {})
{
    wire::Release release;
    release.header.number = number;
    release.baseNumber = base;
    wire::ServiceSpec service;
    service.name = "desk";
    release.services = { service };
    for (int i = 0; i < routes; ++i) {
        wire::Route route;
        route.name = "r" + std::to_string(i);
        route.host = "a.example";
        route.path = "/" + std::to_string(i) + "/";
        route.serviceName = "desk";
        route.timeoutMs = 1000;
        release.routes.push_back(route);
    }
    release.document = "release " + std::to_string(number) + note;
    wire::Command out;
    out.kind = wire::CommandKind::SUBMIT_RELEASE;
    out.requestId = config::releaseRequestId(release.document);
    out.baseVersion = base;
    out.__set_release(release);
    return out;
}

}

TEST(ReleasesAreCompareAndSet, OneOfTwoSubmissionsWithTheSameBaseSucceeds)
{
    config::ConfigMachine machine;
    EXPECT_EQ(machine.apply(1, submission(2, 0, 3)).code, ResultCode::ACCEPTED);
    EXPECT_EQ(machine.apply(2, submission(5, 2, 4, " of one")).code, ResultCode::ACCEPTED);
    EXPECT_EQ(machine.apply(3, submission(5, 2, 5, " of another")).code, ResultCode::CONFLICT);
    EXPECT_EQ(machine.releaseNumber(), 5);
    EXPECT_EQ(machine.releaseDocument(), "release 5 of one");
    EXPECT_EQ(machine.state().routes().size(), 4u);
}

TEST(ReleasesAreCompareAndSet, AResendIsAcceptedAgainAfterALaterRelease)
{
    config::ConfigMachine machine;
    auto first = submission(2, 0, 3);
    EXPECT_EQ(machine.apply(1, first).code, ResultCode::ACCEPTED);
    EXPECT_EQ(machine.apply(2, submission(4, 2, 2)).code, ResultCode::ACCEPTED);
    EXPECT_EQ(machine.apply(3, first).code, ResultCode::ACCEPTED);
    EXPECT_EQ(machine.releaseNumber(), 4);
}

TEST(ReleasesAreCompareAndSet, ARefusalIsNotRemembered)
{
    config::ConfigMachine machine;
    auto early = submission(7, 4, 2);
    EXPECT_EQ(machine.apply(1, submission(2, 0, 3)).code, ResultCode::ACCEPTED);
    EXPECT_EQ(machine.apply(2, early).code, ResultCode::CONFLICT);
    EXPECT_EQ(machine.apply(3, submission(4, 2, 3)).code, ResultCode::ACCEPTED);
    EXPECT_EQ(machine.apply(4, early).code, ResultCode::ACCEPTED) << "its base is the current release now";
}

TEST(ReleasesAreCompareAndSet, ANumberNotAboveTheCurrentIsInvalid)
{
    config::ConfigMachine machine;
    EXPECT_EQ(machine.apply(1, submission(4, 0, 3)).code, ResultCode::ACCEPTED);
    EXPECT_EQ(machine.apply(2, submission(4, 4, 2, " again")).code, ResultCode::INVALID);
    EXPECT_EQ(machine.apply(3, submission(3, 4, 2)).code, ResultCode::INVALID);
}

TEST(ReleasesAreCompareAndSet, NodesReceiveOnlyTheDifference)
{
    config::ConfigMachine machine;
    machine.apply(1, submission(2, 0, 300));
    auto before = machine.state();
    machine.apply(2, submission(3, 2, 301));
    auto delta = machine.state().deltaSince(before.version());
    EXPECT_EQ(delta.changed.size(), 2u) << "the release resource and one route";
    auto applied = before.apply(delta);
    ASSERT_TRUE(applied.state);
    EXPECT_EQ(applied.state->routes().size(), 301u);
    machine.apply(3, submission(4, 3, 299));
    EXPECT_EQ(machine.state().deltaSince(applied.state->version()).removed.size(), 2u);
}

TEST(ReleasesAreCompareAndSet, ARestoredMachineAcceptsResendsAndNewReleases)
{
    config::ConfigMachine machine;
    auto first = submission(2, 0, 3);
    machine.apply(1, first);
    config::ConfigMachine restored;
    restored.restore(machine.image());
    EXPECT_EQ(restored.releaseDocument(), machine.releaseDocument());
    EXPECT_EQ(restored.apply(2, first).code, ResultCode::ACCEPTED);
    EXPECT_EQ(restored.apply(3, submission(3, 2, 3)).code, ResultCode::ACCEPTED);
}
