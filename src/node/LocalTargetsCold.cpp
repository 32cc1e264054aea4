// The part of LocalTargets that limits the calls to cold targets.
#include "LocalTargets.h"

#include "pomelowind/base/Log.h"

#include <algorithm>

namespace pomelowind::node {

using base::Instant;
using base::Millis;

namespace {

    // An announcement may arrive this long after it was made. Once the target's process has ended, only a later one of
    // the same incarnation counts; a new incarnation counts at once.
    constexpr auto LATE_ANNOUNCEMENT = Millis(3000);

}

void LocalTargets::updateCold(Target& target, const Announcement& announcement, bool isNew)
{
    if (announcement.coldCallsPerSecond) {
        double rate = *announcement.coldCallsPerSecond;
        target.gate->setColdRate(rate > 0 ? std::optional(rate) : std::nullopt);
    }
    if (isNew || announcement.receivedAt > target.announcement.receivedAt)
        target.cold.onAnnounced(announcement.coldLeft, announcement.serviceColdStart, announcement.receivedAt);
    bool isNewlyAssumed = announcement.assumedColdAt != Instant()
        && (isNew || announcement.assumedColdAt > target.announcement.assumedColdAt);
    if (isNewlyAssumed)
        target.cold.assume(announcement.assumedColdAt, announcement.assumedColdAt);
    target.gate->setColdUntil(target.cold.until());
}

void LocalTargets::assumeCold(Instant now)
{
    for (auto& [name, target] : m_targets)
        assumeCold(*target, now);
}

void LocalTargets::assumeCold(Target& target, Instant trustedFrom)
{
    target.cold.assume(m_clock.now(), trustedFrom);
    target.gate->setColdUntil(target.cold.until());
}

// A target that breaks a connection may have crashed, and one that refuses a connection has ended. The process that
// follows it at the address is cold, and takes calls before its first announcement is known.
void LocalTargets::suspectRestart(Target& target, const http::ExchangeResult& result)
{
    if (result.connectionRefused)
        assumeCold(target, m_clock.now() + LATE_ANNOUNCEMENT);
    else if (result.connectionLost)
        assumeCold(target, m_clock.now());
}

// A node that has just started may know its target before it knows the configuration.
void LocalTargets::applyHeardColdRate(Target& target, const wire::CallRequest& request)
{
    if (!target.announcement.coldCallsPerSecond && request.__isset.coldCallsPerSecond && request.coldCallsPerSecond > 0)
        target.gate->setColdRate(request.coldCallsPerSecond);
}

const char* LocalTargets::overloadReason(const Target& target)
{
    if (!target.gate->isAtColdRate(m_clock.now()))
        return "the target is overloaded";
    ++m_refusedByCold;
    return "the target is cold";
}

int LocalTargets::coldTargets() const
{
    auto now = m_clock.now();
    return static_cast<int>(std::count_if(
        m_targets.begin(), m_targets.end(), [now](const auto& it) { return it.second->gate->isColdLimited(now); }));
}

// Logs when a target becomes cold and when it no longer is. An announcement or a broken connection precedes each line.
void LocalTargets::logCold(Instant now)
{
    for (auto& [name, target] : m_targets) {
        bool isCold = target->gate->isColdLimited(now);
        if (isCold == target->loggedCold)
            continue;
        target->loggedCold = isCold;
        auto until = target->cold.until();
        bool isKnown = until != Instant::max();
        auto left = isKnown && isCold ? base::toMillis(until - now) : 0;
        base::logRateLimited(isCold ? "target.cold" : "target.cold_ended",
            { { "target", name }, { "until_ms", m_clock.wallMs() + left }, { "until_known", isKnown ? 1 : 0 },
                { "max_calls_per_s", target->announcement.coldCallsPerSecond.value_or(0) } });
    }
}

} // namespace pomelowind::node
