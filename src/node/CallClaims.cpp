#include "CallHeaders.h"
#include "CallState.h"
#include "pomelowind/base/Hash.h"

namespace pomelowind::node {

using claims::ClaimDecision;
using claims::KeyProblem;
using wire::Outcome;

namespace {

    const char* keyRemedy(KeyProblem problem)
    {
        switch (problem) {
        case KeyProblem::NotUuidV7:
            return "use a UUIDv7 as the Idempotency-Key";
        case KeyProblem::FromFuture:
            return "set the caller's clock; the key's time is in the future";
        case KeyProblem::TooOld:
            return "the key is older than 10 minutes; find out whether the request ran before sending it with a new "
                   "key";
        default:
            return "try again; this node has no agreed claim holders at the moment";
        }
    }

}

void CallPath::startClaim(const CallPtr& call)
{
    ClaimHandle handle;
    handle.key = http::findHeader(call->request.headers, KEY_HEADER);
    const auto* ring = call->view->config->claimRing();
    if (ring)
        handle.claimHolders
            = claims::findClaimHolders(*ring, handle.key, m_clock.wallMs(), call->view->claimsThroughMs);
    else
        handle.claimHolders.problem = KeyProblem::NoEpoch;
    if (handle.claimHolders.problem != KeyProblem::None) {
        bool noEpoch = handle.claimHolders.problem == KeyProblem::NoEpoch;
        // The holders' records of an old key have expired, so it is unknown whether its request ran.
        wire::CallAnswer answer;
        answer.outcome
            = handle.claimHolders.problem == KeyProblem::TooOld || noEpoch ? Outcome::UNKNOWN : Outcome::NOT_RUN;
        answer.status = noEpoch ? STATUS_UNAVAILABLE : 422;
        answer.headers = { makeHeader("Content-Type", "application/json") };
        answer.body = errorBody(noEpoch ? "unavailable" : "invalid_input", "the request cannot be claimed",
            keyRemedy(handle.claimHolders.problem));
        return finish(call, std::move(answer));
    }
    handle.owner = m_claimCoordinator.newOwner();
    handle.fingerprint = static_cast<int64_t>(base::hash64(
        *call->body, base::hash64(call->account->name + "\n" + call->request.method + "\n" + call->request.path)));
    call->claim = handle;
    m_claimCoordinator.acquire(
        handle, call->deadline, [this, call](const ClaimOutcome& outcome) { onClaimDecided(call, outcome); });
}

void CallPath::onClaimDecided(const CallPtr& call, const ClaimOutcome& outcome)
{
    if (outcome.decision == ClaimDecision::Run) {
        if (!call->ended)
            return dispatch(call);
        return m_claimCoordinator.release(*call->claim);
    }
    call->claim.reset();
    wire::CallAnswer answer;
    answer.headers = { makeHeader("Content-Type", "application/json") };
    switch (outcome.decision) {
    case ClaimDecision::Replay:
        ++m_counts.replayed;
        answer = outcome.answer;
        answer.headers.push_back(makeHeader(REPLAYED_HEADER, "true"));
        break;
    case ClaimDecision::Conflict:
        answer.outcome = Outcome::NOT_RUN;
        answer.status = 422;
        answer.body = errorBody(
            "conflict", "the Idempotency-Key was used for another request", "use a new key for a new request");
        break;
    case ClaimDecision::NotRun:
        answer.outcome = Outcome::NOT_RUN;
        answer.status = STATUS_UNAVAILABLE;
        answer.body = errorBody("unavailable", "the request could not be claimed", "send it again with the same key");
        break;
    default:
        answer.outcome = Outcome::UNKNOWN;
        answer.status = STATUS_TIMEOUT;
        answer.body = errorBody(
            "unavailable", "whether an earlier attempt ran cannot be told now", "send it again with the same key");
        break;
    }
    finish(call, std::move(answer));
}

} // namespace pomelowind::node
