// Guards against a planned stop that ends, and cuts calls, long before the platform would kill the process.

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

// Returns the node's settings as the platform renders them, with `graceSeconds` from SIGTERM to SIGKILL.
node::NodeSettings renderedSettings(const std::string& graceSeconds)
{
    const std::map<std::string, std::string> values { { "zone|json", "\"east\"" }, { "seeds|json", "[\"10.0.0.1:7\"]" },
        { "ip", "127.0.0.1" }, { "port_range.0", "7001" }, { "port_range.1", "7002" },
        { "listen_addrs.inbound|json", "\"127.0.0.1:7003\"" }, { "listen_addrs.outbound|json", "\"127.0.0.1:7004\"" },
        { "listen_addrs.control|json", "\"127.0.0.1:7005\"" }, { "listen_addrs.ready|json", "\"127.0.0.1:7006\"" },
        { "app_addr|json", "\"127.0.0.1:7007\"" }, { "service|json", "\"s\"" }, { "bounds.retry_budget_slack", "60" },
        { "bounds.quota_window_s", "5" }, { "bounds.quota_overshoot", "0.1" }, { "bounds.quota_slack", "20" },
        { "bounds.grace_s", graceSeconds } };
    auto source = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "../../platform/node.yaml";
    std::stringstream text;
    text << std::ifstream(source).rdbuf();
    auto out = text.str();
    for (const auto& [name, value] : values)
        for (auto at = out.find("{{" + name + "}}"); at != std::string::npos; at = out.find("{{" + name + "}}"))
            out.replace(at, name.size() + 4, value);
    EXPECT_EQ(out.find("{{"), out.rfind("{{")) << "a placeholder without a value: " << out;
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
