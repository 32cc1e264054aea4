#include "pomelowind/claims/ClaimTable.h"

#include "pomelowind/base/Hash.h"

namespace pomelowind::claims {

namespace {

    using wire::ClaimVerdict;

    // Tolerates a wall clock that was set back by up to this much during the restart.
    constexpr int64_t RESTART_MARGIN_MS = 1000;
    // Approximate memory of a claim besides its strings.
    constexpr int64_t CLAIM_OVERHEAD_BYTES = 256;

    wire::ClaimAnswer verdict(ClaimVerdict::type it)
    {
        wire::ClaimAnswer out;
        out.verdict = it;
        return out;
    }

    int64_t sizeOf(const wire::CallAnswer& answer)
    {
        size_t bytes = answer.body.size();
        for (const auto& it : answer.headers)
            bytes += it.name.size() + it.value.size();
        return static_cast<int64_t>(bytes);
    }

}

ClaimTable::ClaimTable(ClaimTableOptions options, int64_t startMs)
    : m_options(options)
    , m_startMs(startMs)
{
}

wire::ClaimAnswer ClaimTable::handle(const wire::ClaimRequest& request, int64_t nowMs)
{
    expire(nowMs);
    int64_t keyMs = base::uuidV7TimeMs(request.key);
    wire::ClaimAnswer out;
    switch (request.step) {
    case wire::ClaimStep::TAKE:
        out = take(request, keyMs, nowMs);
        break;
    case wire::ClaimStep::COMPLETE:
        out = complete(request);
        break;
    case wire::ClaimStep::RELEASE:
        out = release(request);
        break;
    case wire::ClaimStep::LOOK:
        out = look(request, keyMs, nowMs);
        break;
    }
    out.id = request.id;
    return out;
}

// A key created before this process started may have been claimed here, and the claim lost by the restart.
bool ClaimTable::hasCompleteRecordSince(int64_t keyMs) const { return keyMs >= m_startMs + RESTART_MARGIN_MS; }

wire::ClaimAnswer ClaimTable::take(const wire::ClaimRequest& request, int64_t keyMs, int64_t nowMs)
{
    auto storedAnswer = look(request, keyMs, nowMs);
    if (storedAnswer.verdict != ClaimVerdict::ABSENT)
        return storedAnswer;
    // A key from the future is not claimed: after a restart it could not be distinguished from one that was never used.
    if (keyMs > nowMs)
        return storedAnswer;
    auto bytes = CLAIM_OVERHEAD_BYTES + static_cast<int64_t>(request.key.size() + request.owner.size());
    if (m_usedBytes + bytes > m_options.memoryBytes)
        return verdict(ClaimVerdict::FULL);
    Claim claim;
    claim.owner = request.owner;
    claim.fingerprint = request.fingerprint;
    claim.bytes = bytes;
    claim.expiresMs = keyMs + CLAIM_WINDOW_MS;
    m_expiryQueue.emplace_back(nowMs + CLAIM_WINDOW_MS, request.key);
    m_usedBytes += bytes;
    m_claims.emplace(request.key, std::move(claim));
    return verdict(ClaimVerdict::GRANTED);
}

wire::ClaimAnswer ClaimTable::look(const wire::ClaimRequest& request, int64_t keyMs, int64_t nowMs) const
{
    auto it = m_claims.find(request.key);
    if (it == m_claims.end()) {
        bool expired = keyMs < nowMs - CLAIM_WINDOW_MS;
        return verdict(hasCompleteRecordSince(keyMs) && !expired ? ClaimVerdict::ABSENT : ClaimVerdict::BLIND);
    }
    const auto& claim = it->second;
    if (claim.fingerprint != request.fingerprint)
        return verdict(ClaimVerdict::CONFLICT);
    if (claim.done) {
        auto out = verdict(ClaimVerdict::DONE);
        out.__set_answer(claim.answer);
        return out;
    }
    return verdict(claim.owner == request.owner ? ClaimVerdict::GRANTED : ClaimVerdict::PENDING);
}

wire::ClaimAnswer ClaimTable::complete(const wire::ClaimRequest& request)
{
    auto it = m_claims.find(request.key);
    if (it == m_claims.end() || it->second.owner != request.owner || it->second.done)
        return verdict(ClaimVerdict::ABSENT);
    auto& claim = it->second;
    claim.done = true;
    claim.answer = request.answer;
    int64_t bytes = sizeOf(claim.answer);
    // The claim itself prevents a second run and is kept; if memory is short only the body and headers are dropped.
    if (bytes > m_options.answerBytes || m_usedBytes + bytes > m_options.memoryBytes) {
        claim.answer.outcome = wire::Outcome::UNKNOWN;
        claim.answer.reason = "it ran, but its answer was too large to be kept";
        claim.answer.body.clear();
        claim.answer.headers.clear();
        return verdict(ClaimVerdict::DONE);
    }
    claim.bytes += bytes;
    m_usedBytes += bytes;
    return verdict(ClaimVerdict::DONE);
}

wire::ClaimAnswer ClaimTable::release(const wire::ClaimRequest& request)
{
    auto it = m_claims.find(request.key);
    if (it != m_claims.end() && it->second.owner == request.owner && !it->second.done)
        erase(request.key);
    return verdict(ClaimVerdict::ABSENT);
}

void ClaimTable::erase(const std::string& key)
{
    auto it = m_claims.find(key);
    if (it == m_claims.end())
        return;
    m_usedBytes -= it->second.bytes;
    m_claims.erase(it);
}

void ClaimTable::expire(int64_t nowMs)
{
    while (!m_expiryQueue.empty() && m_expiryQueue.front().first <= nowMs) {
        auto it = m_claims.find(m_expiryQueue.front().second);
        if (it != m_claims.end() && it->second.expiresMs <= nowMs)
            erase(m_expiryQueue.front().second);
        m_expiryQueue.pop_front();
    }
}

} // namespace pomelowind::claims
