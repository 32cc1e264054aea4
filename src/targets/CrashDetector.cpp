#include "pomelowind/targets/CrashDetector.h"

#include "pomelowind/base/Hash.h"

#include <algorithm>
#include <utility>

namespace pomelowind::targets {

namespace {

    // A target that gets calls is tried again well within this time. A later refusal may have another reason.
    constexpr auto REFUSAL_WINDOW = base::Millis(2000);
    // Time within which a crashed target is started again and announces itself.
    constexpr auto REPLACEMENT_WINDOW = base::Millis(15000);
    // A target that does not notice that a caller has left usually ends the call within this time.
    constexpr auto ABANDONED_RUN_TIME = base::Millis(1000);
    // Bounds the memory for a target that breaks connections without end. More calls than a target runs at a time.
    constexpr size_t MAX_BROKEN_CALLS = 256;

}

void CrashDetector::onCallBroken(BrokenCall call)
{
    if (m_broken.size() >= MAX_BROKEN_CALLS)
        m_broken.erase(m_broken.begin());
    m_broken.push_back(std::move(call));
}

void CrashDetector::onCallAbandoned(BrokenCall call)
{
    auto earliest = call.at - ABANDONED_RUN_TIME;
    std::erase_if(m_abandoned, [earliest](const BrokenCall& it) { return it.at < earliest; });
    if (m_abandoned.size() >= MAX_BROKEN_CALLS)
        m_abandoned.erase(m_abandoned.begin());
    m_abandoned.push_back(std::move(call));
}

void CrashDetector::onAnswered(base::Instant sentAt)
{
    std::erase_if(m_broken, [sentAt](const BrokenCall& it) { return it.at < sentAt; });
}

std::vector<BrokenCall> CrashDetector::takeSince(base::Instant earliest, base::Instant crashedBy)
{
    auto out = std::exchange(m_broken, {});
    std::erase_if(out, [earliest](const BrokenCall& it) { return it.at < earliest; });
    auto crashedAt = out.empty() ? crashedBy : out.front().at;
    for (auto& it : std::exchange(m_abandoned, {})) {
        if (it.at >= crashedAt - ABANDONED_RUN_TIME)
            out.push_back(std::move(it));
    }
    return out;
}

std::vector<BrokenCall> CrashDetector::onConnectionRefused(base::Instant now)
{
    return takeSince(now - REFUSAL_WINDOW, now);
}

std::vector<BrokenCall> CrashDetector::onReplaced(base::Instant now)
{
    // Without a broken connection, the target may have been replaced as planned.
    if (m_broken.empty())
        return {};
    return takeSince(now - REPLACEMENT_WINDOW, now);
}

uint64_t callFingerprint(std::string_view method, std::string_view host, std::string_view path,
    std::string_view callerService, std::string_view body)
{
    uint64_t out = 0;
    for (auto it : { method, host, path, callerService, body })
        out = base::hash64(it, out);
    return out;
}

} // namespace pomelowind::targets
