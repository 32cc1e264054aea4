// Guards against a committed command that cannot be decoded stopping each host at the same log entry, again after each
// restart, and against an exception after which a host processes nothing any more.

#include "pomelowind/base/Errors.h"
#include "tests/support/SingleControlHost.h"

#include <gtest/gtest.h>

using namespace pomelowind;

namespace {

wire::Command setService(const std::string& name)
{
    wire::Command out;
    out.kind = wire::CommandKind::SET_SERVICE;
    out.name = name;
    out.body = "v1";
    return out;
}

wire::Entry entry(int64_t index, std::string data)
{
    wire::Entry out;
    out.index = index;
    out.term = 2;
    out.kind = wire::EntryKind::COMMAND;
    out.data = std::move(data);
    return out;
}

}

TEST(UnreadableCommandsStopNoHost, LogThatHoldsThemIsReplayed)
{
    tests::SingleControlHost host;
    members::DurableState durable;
    durable.snapshot = wire::SnapshotRecord();
    durable.snapshot->index = 1;
    durable.snapshot->term = 1;
    durable.snapshot->membership.voters = { "c1" };
    durable.hardState.term = 2;
    durable.entries = { entry(2, ""), entry(3, "\x01\xff\xff\xff\xff"), entry(4, std::string(1, '\0') + "\xff\xff") };
    host.restart(durable);
    EXPECT_EQ(host.submit(setService("desk")).code, wire::ResultCode::ACCEPTED);
}

TEST(UnreadableCommandsStopNoHost, MalformedFramesOfEachKindAreRefusedAlone)
{
    tests::SingleControlHost host;
    for (int kind = 0; kind < 64; ++kind) {
        for (const char* payload :
            { "", "\xff", "\x15\x7f\x00", "\x18\xff\xff\xff\xff\x0f", "\x19\xfc\xff\xff\xff\x0f" }) {
            auto send = [&](auto handle) {
                try {
                    (host.core.get()->*handle)("c2", static_cast<links::Kind>(kind), payload, host.now, 1);
                } catch (const base::UserError&) {
                    // Refused; the link's owner logs it.
                }
            };
            EXPECT_NO_THROW(send(&control::ControlCore::handleMemberFrame)) << kind;
            EXPECT_NO_THROW(send(&control::ControlCore::handleNodeFrame)) << kind;
        }
    }
    host.advance(base::Millis(1000));
    EXPECT_EQ(host.submit(setService("desk")).code, wire::ResultCode::ACCEPTED);
}
