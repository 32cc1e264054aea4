// Guards against a planned stop that ends, and cuts calls, long before the platform would kill the process, and against
// leases that are asked for in other deployments, or not where they are needed.

#include "pomelowind/node/NodeSettings.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <regex>
#include <sstream>
#include <unistd.h>

using namespace pomelowind;
using base::Millis;

namespace {

constexpr char SECTION[] = "{{#bounds.strict_revoke}}";
constexpr char SECTION_END[] = "{{/bounds.strict_revoke}}";

// Keeps the content of the section, or removes it.
void renderSection(std::string& text, bool isPresent)
{
    auto begin = text.find(SECTION);
    auto end = text.find(SECTION_END);
    ASSERT_LT(begin, end);
    ASSERT_NE(end, std::string::npos);
    auto content = begin + sizeof(SECTION) - 1;
    auto kept = isPresent ? text.substr(content, end - content) : std::string();
    text.replace(begin, end + sizeof(SECTION_END) - 1 - begin, kept);
}

// Returns the node's settings as the platform renders them, with `graceSeconds` from SIGTERM to SIGKILL. Empty
// `revokeMs`: the deployment asks for no leases.
node::NodeSettings renderedSettings(const std::string& graceSeconds, const std::string& revokeMs = "")
{
    std::map<std::string, std::string> values { { "zone|json", "\"east\"" }, { "seeds|json", "[\"10.0.0.1:7\"]" },
        { "ip", "127.0.0.1" }, { "port_range.0", "7001" }, { "port_range.1", "7002" },
        { "listen_addrs.inbound|json", "\"127.0.0.1:7003\"" }, { "listen_addrs.outbound|json", "\"127.0.0.1:7004\"" },
        { "listen_addrs.control|json", "\"127.0.0.1:7005\"" }, { "listen_addrs.ready|json", "\"127.0.0.1:7006\"" },
        { "app_addr|json", "\"127.0.0.1:7007\"" }, { "service|json", "\"s\"" }, { "bounds.retry_budget_slack", "60" },
        { "bounds.quota_window_s", "5" }, { "bounds.quota_overshoot", "0.1" }, { "bounds.quota_slack", "20" },
        { "bounds.grace_s", graceSeconds } };
    if (!revokeMs.empty())
        values["bounds.revoke_ms"] = revokeMs;
    auto source = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "../../platform/node.yaml";
    std::stringstream text;
    text << std::ifstream(source).rdbuf();
    auto out = text.str();
    renderSection(out, !revokeMs.empty());
    for (const auto& [name, value] : values)
        for (auto at = out.find("{{" + name + "}}"); at != std::string::npos; at = out.find("{{" + name + "}}"))
            out.replace(at, name.size() + 4, value);
    EXPECT_EQ(out.find("{{"), std::string::npos) << "a placeholder without a value: " << out;
    auto file = std::filesystem::temp_directory_path() / ("pomelowind-node-" + std::to_string(getpid()) + ".yaml");
    std::ofstream(file) << out;
    auto settings = node::readNodeSettings(file.string());
    std::filesystem::remove(file);
    return settings;
}

}

TEST(StopUsesTheTimeOfThePlatform, StopEndsInTheLastPartOfIt)
{
    for (auto [text, grace] : { std::pair("6", Millis(6000)), { "10", Millis(10000) }, { "10.0", Millis(10000) } }) {
        auto settings = renderedSettings(text);
        EXPECT_GE(settings.stopTimeout, grace * 5 / 6) << text;
        EXPECT_LE(settings.stopTimeout, grace - Millis(500)) << text << ": killed before the last answers are sent";
    }
}

TEST(LeasesOfThePlatform, AreAskedForOnlyWhereItSaysSo)
{
    EXPECT_EQ(renderedSettings("10", "5000").lease.revoke, Millis(5000));
    EXPECT_EQ(renderedSettings("10", "5000.0").lease.revoke, Millis(5000));
    EXPECT_FALSE(renderedSettings("10").lease.enabled());
}
