// Guards against a process that does not start because its platform gives no bounds on client accounts, and against one
// that starts with bounds that cannot be kept.

#include "pomelowind/base/Errors.h"
#include "pomelowind/callers/QuotaBounds.h"

#include <gtest/gtest.h>

using namespace pomelowind;

namespace {

callers::QuotaBounds read(const std::string& text)
{
    auto reader = base::SettingsReader::fromText(text, "node.yaml");
    auto out = callers::readQuotaBounds(reader);
    reader.finish();
    return out;
}

}

TEST(QuotaSettingsMayBeMissing, EmptyOnesKeepTheirDefaults)
{
    auto bounds = read("quota_window_s: \nquota_overshoot: \nquota_slack: 7\n");
    EXPECT_EQ(bounds.window, base::Millis(5000));
    EXPECT_EQ(bounds.overshoot, 0.1);
    EXPECT_EQ(bounds.slack, 7);
    EXPECT_EQ(read("quota_window_s: 10\n").window, base::Millis(10000));
    EXPECT_EQ(read("quota_window_s: 10\nquota_window_ms: 3000\n").window, base::Millis(3000));
}

TEST(QuotaSettingsMayBeMissing, ImpossibleOnesAreNamed)
{
    for (const std::string text : { "quota_window_s: 0\n", "quota_window_ms: 10\n", "quota_overshoot: -1\n",
             "quota_slack: some\n", "quota_slack: .nan\n" })
        EXPECT_THROW(read(text), base::UserError) << text;
}
