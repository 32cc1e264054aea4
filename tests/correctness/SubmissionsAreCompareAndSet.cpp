// Operators' submissions are compare-and-set: of two with the same base version one succeeds and the other gets a
// conflict. A resend gets the first result, also after a restore from a snapshot, and invalid input changes nothing.

#include "pomelowind/config/ConfigMachine.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using config::ConfigMachine;
using wire::CommandKind;
using wire::ResultCode;

namespace {

constexpr char TEMPLATE[] = R"(name: finder
routes:
  - { host: "${host}", path: /lookup, service: finder-app }
rate_per_second: "${rate}"
parameters:
  - { name: host }
  - { name: rate, default: "100" }
)";

class SubmissionsAreCompareAndSet : public testing::Test {
protected:
    wire::Command command(CommandKind::type kind, const std::string& name, int64_t base)
    {
        wire::Command out;
        out.kind = kind;
        out.name = name;
        out.baseVersion = base;
        out.requestId = "r" + std::to_string(++m_requests);
        out.actor = "ana";
        out.timeMs = 1000;
        return out;
    }

    wire::CommandResult apply(const wire::Command& command) { return machine.apply(++m_index, command); }

    void prepare()
    {
        auto service = command(CommandKind::SET_SERVICE, "finder-app", 0);
        service.body = "v1";
        ASSERT_EQ(apply(service).code, ResultCode::ACCEPTED);
        auto source = command(CommandKind::SUBMIT_TEMPLATE, "finder", 0);
        source.body = TEMPLATE;
        ASSERT_EQ(apply(source).code, ResultCode::ACCEPTED);
    }

    wire::Command account(const std::string& name, int64_t base, const std::string& host)
    {
        auto out = command(CommandKind::SET_ACCOUNT, name, base);
        out.templateName = "finder";
        out.parameters = { { "host", host } };
        return out;
    }

    ConfigMachine machine;

private:
    int m_requests { 0 };
    int64_t m_index { 1 };
};

}

TEST_F(SubmissionsAreCompareAndSet, OneOfTwoSubmissionsWithTheSameBaseSucceeds)
{
    prepare();
    EXPECT_EQ(apply(account("a", 0, "x")).code, ResultCode::ACCEPTED);
    int64_t base = machine.accounts().at("a").version;
    EXPECT_EQ(apply(account("a", base, "y")).code, ResultCode::ACCEPTED);
    auto second = apply(account("a", base, "z"));
    EXPECT_EQ(second.code, ResultCode::CONFLICT);
    EXPECT_FALSE(second.remedy.empty());
    EXPECT_EQ(machine.accounts().at("a").parameters.at("host"), "y");
}

TEST_F(SubmissionsAreCompareAndSet, AResendGetsTheFirstResultAfterARestore)
{
    prepare();
    auto submission = account("a", 0, "x");
    auto first = apply(submission);
    ConfigMachine restored;
    restored.restore(machine.image());
    submission.timeMs += 5000;
    EXPECT_EQ(restored.apply(99, submission), first);
    EXPECT_EQ(restored.state().hash(), machine.state().hash());
    submission.parameters["host"] = "other";
    EXPECT_EQ(restored.apply(100, submission).code, ResultCode::CONFLICT);
}

TEST_F(SubmissionsAreCompareAndSet, InvalidInputChangesNothing)
{
    prepare();
    auto before = machine.state().hash();
    auto missing = account("a", 0, "x");
    missing.parameters.clear();
    EXPECT_EQ(apply(missing).code, ResultCode::INVALID);
    auto broken = command(CommandKind::SUBMIT_TEMPLATE, "t", 0);
    broken.body = "name: t\nroutes: [ { path: nope, hots: x, service: ghost } ]\n";
    auto result = apply(broken);
    EXPECT_EQ(result.code, ResultCode::INVALID);
    EXPECT_NE(result.message.find("template:2"), std::string::npos) << result.message;
    EXPECT_NE(result.message.find("hots"), std::string::npos) << result.message;
    broken.requestId = "again";
    broken.body = "name: t\nroutes: [ { host: h, path: /, service: ghost } ]\n";
    EXPECT_EQ(apply(broken).code, ResultCode::INVALID);
    EXPECT_EQ(machine.state().hash(), before);
}

TEST_F(SubmissionsAreCompareAndSet, RemovingAServiceRemovesItsRoutes)
{
    prepare();
    ASSERT_EQ(apply(account("a", 0, "x")).code, ResultCode::ACCEPTED);
    auto remove = command(CommandKind::REMOVE_SERVICE, "finder-app", machine.state().versionOf("service/finder-app"));
    ASSERT_EQ(apply(remove).code, ResultCode::ACCEPTED);
    EXPECT_TRUE(machine.state().accounts().front()->routes.empty());
    auto again = command(CommandKind::SET_SERVICE, "finder-app", machine.state().versionOf("service/finder-app"));
    again.body = "v1";
    ASSERT_EQ(apply(again).code, ResultCode::ACCEPTED);
    EXPECT_EQ(machine.state().accounts().front()->routes.size(), 1u);
}

TEST_F(SubmissionsAreCompareAndSet, OutOfOrderSourceUpdatesAreIgnored)
{
    prepare();
    auto newer = account("a", 0, "new");
    newer.kind = CommandKind::SOURCE_UPDATE;
    newer.sourceSequence = 7;
    EXPECT_EQ(apply(newer).code, ResultCode::ACCEPTED);
    auto older = account("a", 0, "old");
    older.kind = CommandKind::SOURCE_UPDATE;
    older.sourceSequence = 6;
    EXPECT_EQ(apply(older).code, ResultCode::UNCHANGED);
    EXPECT_EQ(machine.accounts().at("a").parameters.at("host"), "new");
}

TEST_F(SubmissionsAreCompareAndSet, RefusalsAreInTheAuditTrail)
{
    prepare();
    auto denied = command(CommandKind::DENIED, "service/finder-app", 0);
    denied.body = "team may not";
    apply(denied);
    EXPECT_EQ(machine.audit().back().code, ResultCode::DENIED);
    EXPECT_EQ(machine.audit().back().actor, "ana");
}
