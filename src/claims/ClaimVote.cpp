#include "pomelowind/claims/ClaimVote.h"

#include "pomelowind/base/Hash.h"
#include "pomelowind/claims/ClaimTable.h"

#include <algorithm>
#include <set>

namespace pomelowind::claims {

namespace {

    using wire::ClaimVerdict;

    // Maximum clock skew of a caller that is ahead. The request waits until the creation time of its key is reached.
    constexpr int64_t MAX_CLOCK_SKEW_MS = 1000;

    // Returns the holders with the highest rendezvous scores, each from a different data centre as far as possible.
    std::vector<wire::ClaimHolder> chooseHolders(const wire::ClaimEpoch& epoch, const std::string& key)
    {
        auto ranked = epoch.holders;
        std::sort(ranked.begin(), ranked.end(), [&](const wire::ClaimHolder& a, const wire::ClaimHolder& b) {
            return base::rendezvousScore(key, a.node) > base::rendezvousScore(key, b.node);
        });
        std::vector<wire::ClaimHolder> out;
        std::vector<wire::ClaimHolder> others;
        std::set<std::string> dataCentres;
        for (const auto& it : ranked)
            (dataCentres.insert(it.dataCentre).second ? out : others).push_back(it);
        out.insert(out.end(), others.begin(), others.end());
        out.resize(std::min(out.size(), CLAIM_HOLDERS));
        return out;
    }

    size_t count(const ClaimAnswers& answers, std::initializer_list<ClaimVerdict::type> verdicts)
    {
        return static_cast<size_t>(std::count_if(answers.begin(), answers.end(), [&](const auto& it) {
            return it && std::find(verdicts.begin(), verdicts.end(), it->verdict) != verdicts.end();
        }));
    }

}

ClaimHolders findClaimHolders(
    const wire::ClaimRing& ring, const std::string& key, int64_t nowMs, int64_t noNewEpochBeforeMs)
{
    ClaimHolders out;
    int64_t keyMs = base::uuidV7TimeMs(key);
    if (keyMs < 0) {
        out.problem = KeyProblem::NotUuidV7;
        return out;
    }
    if (keyMs > nowMs + MAX_CLOCK_SKEW_MS) {
        out.problem = KeyProblem::FromFuture;
        return out;
    }
    if (keyMs < nowMs - CLAIM_WINDOW_MS) {
        out.problem = KeyProblem::TooOld;
        return out;
    }
    out.waitMs = std::max<int64_t>(0, keyMs - nowMs);
    auto epoch = std::find_if(
        ring.epochs.rbegin(), ring.epochs.rend(), [&](const wire::ClaimEpoch& it) { return it.fromMs <= keyMs; });
    bool isLast = epoch == ring.epochs.rbegin();
    // The last known epoch may have a successor that this node has not received yet, unless the leader promised that
    // none starts before the creation time of the key.
    if (epoch == ring.epochs.rend() || (isLast && keyMs > noNewEpochBeforeMs)) {
        out.problem = KeyProblem::NoEpoch;
        return out;
    }
    out.epoch = epoch->epoch;
    out.holders = chooseHolders(*epoch, key);
    out.quorum = out.holders.size() / 2 + 1;
    return out;
}

ClaimDecision decideClaim(const ClaimAnswers& answers, size_t quorum, bool final)
{
    size_t granted = count(answers, { ClaimVerdict::GRANTED });
    if (granted >= quorum)
        return ClaimDecision::Run;
    if (count(answers, { ClaimVerdict::DONE }))
        return ClaimDecision::Replay;
    if (count(answers, { ClaimVerdict::CONFLICT }))
        return ClaimDecision::Conflict;
    auto answered = static_cast<size_t>(
        std::count_if(answers.begin(), answers.end(), [](const auto& it) { return it.has_value(); }));
    if (!final && answered < answers.size())
        return ClaimDecision::Wait;
    if (count(answers, { ClaimVerdict::PENDING }))
        return ClaimDecision::Pending;
    size_t clean = count(answers, { ClaimVerdict::GRANTED, ClaimVerdict::FULL, ClaimVerdict::ABSENT });
    return clean >= quorum ? ClaimDecision::NotRun : ClaimDecision::Unknown;
}

} // namespace pomelowind::claims
