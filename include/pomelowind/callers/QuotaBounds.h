// Bound on the calls of a client account over all nodes, as nodes and control hosts read it from their settings.
#pragma once

#include "pomelowind/base/Settings.h"
#include "pomelowind/base/Time.h"

namespace pomelowind::callers {

// Bound on the calls of one account: in each `window`, (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaBounds {
    base::Millis window { 5000 };
    double overshoot { 0.1 };
    double slack { 20 };

    // Returns the bound for an account with this limit.
    double maxCalls(double ratePerSecond, double burst) const;
    // Returns the part of the bound beyond what a perfect counter would admit.
    double tolerance(double ratePerSecond, double burst) const;
};

// Reads quota_window_ms (or quota_window_s), quota_overshoot and quota_slack. Settings that are missing or empty keep
// their defaults. Records a problem for each value out of range.
QuotaBounds readQuotaBounds(base::SettingsReader& reader);

} // namespace pomelowind::callers
