#include "CallState.h"

#include <limits>

namespace pomelowind::node {

void CallPath::onCall(const void* origin, wire::CallRequest request, std::function<void()> onGranted, CallCallback done)
{
    auto key = std::make_pair(origin, request.id);
    // 0, which is no valid id, until m_localTargets.call() has returned the id.
    auto id = std::make_shared<uint64_t>(0);
    auto ended = std::make_shared<bool>(false);
    auto onDone = [this, key, id, ended, done = std::move(done)](wire::CallAnswer answer) {
        *ended = true;
        // After the link has closed, a new link may reuse the origin's address and the call id; leave its entry alone.
        auto it = m_remoteCalls.find(key);
        if (it != m_remoteCalls.end() && it->second == *id)
            m_remoteCalls.erase(it);
        done(std::move(answer));
    };
    *id = m_localTargets.call(std::move(request), nullptr, std::move(onGranted), onDone);
    if (!*ended)
        m_remoteCalls[key] = *id;
}

void CallPath::onBody(const void* origin, int64_t id, std::string_view part)
{
    auto it = m_remoteCalls.find({ origin, id });
    if (it != m_remoteCalls.end())
        m_localTargets.receiveBodyPart(it->second, part);
}

// Cancels the calls of a closed link whose bodies are incomplete. Calls with a complete body continue, since their
// target may have begun them; their answers are discarded.
void CallPath::onOriginClosed(const void* origin)
{
    auto it = m_remoteCalls.lower_bound({ origin, std::numeric_limits<int64_t>::min() });
    while (it != m_remoteCalls.end() && it->first.first == origin) {
        m_localTargets.cancelIncomplete(it->second);
        it = m_remoteCalls.erase(it);
    }
}

void CallPath::onCancel(const void* origin, int64_t id)
{
    auto it = m_remoteCalls.find({ origin, id });
    if (it == m_remoteCalls.end())
        return;
    m_localTargets.cancel(it->second);
    m_remoteCalls.erase(it);
}

wire::ClaimAnswer CallPath::onClaim(const wire::ClaimRequest& request)
{
    return m_claimCoordinator.handleRequest(request, m_view);
}

} // namespace pomelowind::node
