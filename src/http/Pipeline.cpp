#include "Pipeline.h"

#include <numeric>
#include <utility>

namespace pomelowind::http {

PipelinedRequest& Pipeline::add(PipelinedRequest request)
{
    request.number = m_nextNumber++;
    return m_requests.emplace_back(std::move(request));
}

void Pipeline::popFront() { m_requests.pop_front(); }

PipelinedRequest* Pipeline::find(uint64_t number)
{
    if (m_requests.empty() || number < m_requests.front().number || number > m_requests.back().number)
        return nullptr;
    return &m_requests[static_cast<size_t>(number - m_requests.front().number)];
}

// Only the last request can wait, since none is read behind one that may not overlap.
PipelinedRequest* Pipeline::nextToHandle()
{
    if (m_requests.empty() || m_requests.back().isHandled)
        return nullptr;
    auto& last = m_requests.back();
    return last.mayOverlap || m_requests.size() == 1 ? &last : nullptr;
}

bool Pipeline::mayReadNext(size_t maxRequests, size_t maxBytes) const
{
    if (m_requests.empty())
        return true;
    const auto& last = m_requests.back();
    if (!last.mayOverlap || !last.keepAlive || m_requests.size() >= maxRequests)
        return false;
    auto bytes = std::accumulate(
        m_requests.begin(), m_requests.end(), size_t { 0 }, [](size_t sum, const auto& it) { return sum + it.bytes; });
    return bytes < maxBytes;
}

size_t Pipeline::reservedBytes() const
{
    return std::accumulate(m_requests.begin(), m_requests.end(), size_t { 0 },
        [](size_t sum, const auto& it) { return sum + it.memory.bytes(); });
}

std::vector<std::function<void()>> Pipeline::takeCancellations()
{
    std::vector<std::function<void()>> out;
    for (auto& it : m_requests) {
        if (it.onCancel && !it.response)
            out.push_back(std::move(it.onCancel));
    }
    m_requests.clear();
    return out;
}

} // namespace pomelowind::http
