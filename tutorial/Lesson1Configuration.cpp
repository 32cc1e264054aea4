// Lesson 1: a template and a client account's parameters become a delta, which a node applies as a whole.

#include "pomelowind/config/ConfigMachine.h"

#include <gtest/gtest.h>

using namespace pomelowind;

TEST(Lesson1, FromTemplateToDelta)
{
    // Every control host applies the same commands in log order.
    config::ConfigMachine machine;
    wire::Command command;
    command.kind = wire::CommandKind::SET_SERVICE;
    command.name = "finder-app";
    command.body = "v1";
    machine.apply(1, command);

    command = {};
    command.kind = wire::CommandKind::SUBMIT_TEMPLATE;
    command.name = "finder";
    command.body = "name: finder\nroutes:\n  - { host: \"${host}\", path: /lookup, service: finder-app "
                   "}\nparameters:\n  - { name: host }\n";
    machine.apply(2, command);

    command = {};
    command.kind = wire::CommandKind::SET_ACCOUNT;
    command.name = "showrooms";
    command.templateName = "finder";
    command.parameters = { { "host", "showrooms.example" } };
    auto result = machine.apply(3, command);
    ASSERT_EQ(result.code, wire::ResultCode::ACCEPTED);

    // A node without configuration receives the full state. It checks the hash and every route before it activates it.
    config::ConfigState node;
    auto applied = node.apply(machine.state().deltaSince(node.version()));
    ASSERT_TRUE(applied.state);
    EXPECT_EQ(applied.state->version(), result.version);
    EXPECT_EQ(applied.state->accounts().front()->routes.front().host, "showrooms.example");

    // Applying the same delta again is refused, because its version is not above the current one.
    EXPECT_EQ(applied.state->apply(machine.state().deltaSince(0)).refusal, config::ApplyRefusal::Older);
}
