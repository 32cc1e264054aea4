#include "pomelowind/targets/TargetNotice.h"

#include "pomelowind/base/Log.h"

#include <charconv>
#include <cmath>

namespace pomelowind::targets {

namespace {

    // Returns the non-negative, finite number in `text`, or nullopt when it is none.
    std::optional<double> readRate(std::string_view text)
    {
        double out = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
        bool isRead = ec == std::errc() && end == text.data() + text.size();
        return isRead && std::isfinite(out) && out >= 0 ? std::optional(out) : std::nullopt;
    }

}

std::optional<TargetNotice> readNotice(std::string_view maxCallsPerSecond, bool leaving, bool isSilenceCertain)
{
    TargetNotice out { readRate(maxCallsPerSecond), leaving };
    bool isUnreadable = !maxCallsPerSecond.empty() && !out.maxCallsPerSecond;
    if (isUnreadable)
        base::logRateLimited("target.unreadable_limit", { { "value", maxCallsPerSecond } });
    if (out == TargetNotice() && (isUnreadable || !isSilenceCertain))
        return std::nullopt;
    return out;
}

} // namespace pomelowind::targets
