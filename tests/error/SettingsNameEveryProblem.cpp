// Guards the parsing of external input: a settings error reports every problem at once, with file, line and remedy;
// roles allow only what their patterns match; malformed bytes are refused with a UserError instead of a crash.

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Random.h"
#include "pomelowind/base/Settings.h"
#include "pomelowind/base/Wire.h"
#include "pomelowind/config/Template.h"
#include "pomelowind/operators/Roles.h"

#include <gtest/gtest.h>

using namespace pomelowind;

TEST(SettingsNameEveryProblem, ReportsAllProblemsWithLineAndRemedy)
{
    auto reader = base::SettingsReader::fromText("id: 7\naddress: nowhere\nslots: many\ncolour: red\n", "node.yaml");
    reader.text("id");
    reader.address("address");
    reader.integer("slots", 1, 1, 10);
    reader.text("mesh");
    try {
        reader.finish();
        FAIL();
    } catch (const base::UserError& e) {
        std::string message = e.what();
        for (const char* expected :
            { "node.yaml:2", "node.yaml:3", "node.yaml:4", "unknown key 'colour'", "'mesh' is missing", "remedy" })
            EXPECT_NE(message.find(expected), std::string::npos) << expected << " in " << message;
    }
}

TEST(SettingsNameEveryProblem, RolesAllowOnlySubjectsThatMatchTheirPatterns)
{
    operators::Roles roles({ { "ana", "finder", std::string(64, '0') } },
        { { "finder", { "*" }, { "account/lum-*" }, { "service/finder-app" } } });
    operators::Operator ana { "ana", "finder", "" };
    EXPECT_TRUE(roles.allows(ana, operators::Permission::Change, "account/lum-1"));
    EXPECT_FALSE(roles.allows(ana, operators::Permission::Change, "account/other"));
    EXPECT_TRUE(roles.allows(ana, operators::Permission::Move, "service/finder-app"));
    EXPECT_FALSE(roles.allows(ana, operators::Permission::Move, "service/certs-svc"));
    EXPECT_FALSE(roles.authenticate("wrong token"));
}

TEST(SettingsNameEveryProblem, CorruptedBytesNeverCrashTheDecoders)
{
    wire::CallRequest sample;
    sample.method = "GET";
    sample.path = "/lookup";
    std::string good = base::encode(sample);
    int refused = 0;
    for (uint64_t seed = 1; seed <= 20000; ++seed) {
        base::Random random(seed);
        std::string bytes = good;
        for (uint64_t n = 1 + random.uniformBelow(4); n > 0; --n)
            bytes[random.uniformBelow(bytes.size())] = static_cast<char>(random.next());
        bytes.resize(1 + random.uniformBelow(bytes.size()));
        try {
            base::decode<wire::CallRequest>(bytes);
        } catch (const base::UserError&) {
            ++refused;
        }
        try {
            base::decode<wire::Delta>(bytes);
            base::SettingsReader::fromText(bytes, "x").text("id", "");
            config::parseTemplate(bytes);
        } catch (const base::UserError&) {
            ++refused;
        }
    }
    EXPECT_GT(refused, 20000);
}
