#include "pomelowind/callers/QuotaBounds.h"

#include <cmath>

namespace pomelowind::callers {

namespace {

    constexpr double MS_PER_SECOND = 1000;
    // Shorter windows end before the leader's ratios have reached the nodes.
    constexpr base::Millis MIN_WINDOW { 2000 };
    constexpr base::Millis MAX_WINDOW { 60000 };

}

double QuotaBounds::maxCalls(double ratePerSecond, double burst) const
{
    return ratePerSecond * std::chrono::duration<double>(window).count() + burst + tolerance(ratePerSecond, burst);
}

double QuotaBounds::tolerance(double ratePerSecond, double burst) const
{
    return (ratePerSecond * std::chrono::duration<double>(window).count() + burst) * overshoot + slack;
}

QuotaBounds readQuotaBounds(base::SettingsReader& reader)
{
    QuotaBounds out;
    double seconds = reader.real("quota_window_s", static_cast<double>(out.window.count()) / MS_PER_SECOND,
        static_cast<double>(MIN_WINDOW.count()) / MS_PER_SECOND,
        static_cast<double>(MAX_WINDOW.count()) / MS_PER_SECOND);
    out.window
        = reader.millis("quota_window_ms", base::Millis(std::lround(seconds * MS_PER_SECOND)), MIN_WINDOW, MAX_WINDOW);
    out.overshoot = reader.real("quota_overshoot", out.overshoot, 0, 10);
    out.slack = reader.real("quota_slack", out.slack, 0, 1000000);
    return out;
}

} // namespace pomelowind::callers
