#include "ClaimCoordinator.h"

#include <algorithm>

namespace pomelowind::node {

using claims::ClaimDecision;
using wire::ClaimStep;

namespace {

    constexpr auto HOLDER_TIMEOUT = base::Millis(1000);
    constexpr auto POLL_PERIOD = base::Millis(50);
    constexpr auto NOTIFY_TIMEOUT = base::Millis(2000);

    claims::ClaimTableOptions tableOptions(const NodeSettings& settings)
    {
        claims::ClaimTableOptions out;
        out.memoryBytes = settings.claimMemoryBytes;
        return out;
    }

    wire::ClaimRequest makeRequest(const ClaimHandle& handle, ClaimStep::type step)
    {
        wire::ClaimRequest out;
        out.step = step;
        out.key = handle.key;
        out.fingerprint = handle.fingerprint;
        out.owner = handle.owner;
        out.epoch = handle.claimHolders.epoch;
        return out;
    }

}

// One request to all holders, and their answers so far.
struct ClaimCoordinator::Round {
    ClaimHandle handle;
    base::Instant deadline;
    Done done;
    claims::ClaimAnswers answers;
    size_t outstanding { 0 };
    bool polling { false };
    bool concluded { false };
};

ClaimCoordinator::ClaimCoordinator(const NodeSettings& settings, PeerCalls& peers, const base::Clock& clock)
    : m_settings(settings)
    , m_peers(peers)
    , m_clock(clock)
    , m_table(tableOptions(settings), clock.wallMs())
    , m_ownerPrefix(settings.id + "/" + std::to_string(clock.wallMs()) + "/")
{
}

std::string ClaimCoordinator::newOwner() { return m_ownerPrefix + std::to_string(m_nextOwner++); }

void ClaimCoordinator::acquire(const ClaimHandle& handle, base::Instant deadline, Done done)
{
    auto round = std::make_shared<Round>();
    round->handle = handle;
    round->deadline = deadline;
    round->done = std::move(done);
    // A key whose time is slightly in the future is claimed only then. A holder vouches for every key whose time is
    // after the holder's start, so one that restarted before that time would vouch for a key whose claim it had lost.
    if (handle.claimHolders.waitMs > 0) {
        m_nextPolls.emplace(m_clock.now() + base::Millis(handle.claimHolders.waitMs), round);
        return;
    }
    queryHolders(round, ClaimStep::TAKE);
}

void ClaimCoordinator::queryHolders(const std::shared_ptr<Round>& round, ClaimStep::type step)
{
    const auto& holders = round->handle.claimHolders.holders;
    auto now = m_clock.now();
    auto budget = std::min(HOLDER_TIMEOUT, std::chrono::duration_cast<base::Millis>(round->deadline - now));
    budget = std::max(budget, base::Millis(1));
    round->answers.assign(holders.size(), std::nullopt);
    round->outstanding = holders.size();
    round->polling = step == ClaimStep::LOOK;
    auto request = makeRequest(round->handle, step);
    for (size_t i = 0; i < holders.size(); ++i) {
        if (holders[i].node == m_settings.id) {
            onHolderAnswer(round, i, m_table.handle(request, m_clock.wallMs()));
            continue;
        }
        m_peers.claim(holders[i].address, request, budget, now,
            [this, round, i](std::optional<wire::ClaimAnswer> answer) { onHolderAnswer(round, i, std::move(answer)); });
    }
}

void ClaimCoordinator::onHolderAnswer(
    const std::shared_ptr<Round>& round, size_t holder, std::optional<wire::ClaimAnswer> answer)
{
    if (round->concluded || !round->outstanding)
        return;
    round->answers[holder] = std::move(answer);
    --round->outstanding;
    auto decision = claims::decideClaim(round->answers, round->handle.claimHolders.quorum, round->outstanding == 0);
    if (decision != ClaimDecision::Wait)
        conclude(round, decision);
}

void ClaimCoordinator::conclude(const std::shared_ptr<Round>& round, ClaimDecision decision)
{
    auto now = m_clock.now();
    bool hasTime = now + POLL_PERIOD < round->deadline;
    // Grants of a lost race are kept while polling; they block no other key.
    if (decision == ClaimDecision::Pending && hasTime) {
        round->outstanding = 0;
        round->polling = true;
        m_nextPolls.emplace(now + POLL_PERIOD, round);
        return;
    }
    // The other attempt has released the key without running the request: claim it again.
    bool wasReleased = round->polling && (decision == ClaimDecision::NotRun || decision == ClaimDecision::Run);
    if (wasReleased && hasTime) {
        round->outstanding = 0;
        round->polling = false;
        m_nextPolls.emplace(now + POLL_PERIOD, round);
        return;
    }
    round->concluded = true;
    ClaimOutcome out;
    out.decision = wasReleased || decision == ClaimDecision::Pending ? ClaimDecision::Unknown : decision;
    for (const auto& it : round->answers) {
        if (it && it->verdict == wire::ClaimVerdict::DONE)
            out.answer = it->answer;
    }
    if (out.decision != ClaimDecision::Run && out.decision != ClaimDecision::Replay)
        release(round->handle);
    round->done(out);
}

void ClaimCoordinator::notifyHolders(const ClaimHandle& handle, ClaimStep::type step, const wire::CallAnswer* answer)
{
    auto request = makeRequest(handle, step);
    if (answer)
        request.__set_answer(*answer);
    for (const auto& it : handle.claimHolders.holders) {
        if (it.node == m_settings.id)
            m_table.handle(request, m_clock.wallMs());
        else
            m_peers.claim(it.address, request, NOTIFY_TIMEOUT, m_clock.now(), [](const auto&) {});
    }
}

void ClaimCoordinator::complete(const ClaimHandle& handle, const wire::CallAnswer& answer)
{
    notifyHolders(handle, ClaimStep::COMPLETE, &answer);
}

void ClaimCoordinator::release(const ClaimHandle& handle) { notifyHolders(handle, ClaimStep::RELEASE, nullptr); }

wire::ClaimAnswer ClaimCoordinator::handleRequest(const wire::ClaimRequest& request, const MeshViewPtr& view)
{
    const auto* ring = view && view->config ? view->config->claimRing() : nullptr;
    if (ring && request.step == ClaimStep::TAKE) {
        auto claimHolders = claims::findClaimHolders(*ring, request.key, m_clock.wallMs(), view->claimsThroughMs);
        if (claimHolders.epoch > request.epoch) {
            wire::ClaimAnswer out;
            out.id = request.id;
            out.verdict = wire::ClaimVerdict::WRONG_EPOCH;
            return out;
        }
    }
    return m_table.handle(request, m_clock.wallMs());
}

void ClaimCoordinator::sweep(base::Instant now)
{
    while (!m_nextPolls.empty() && m_nextPolls.begin()->first <= now) {
        auto round = m_nextPolls.begin()->second;
        m_nextPolls.erase(m_nextPolls.begin());
        queryHolders(round, round->polling ? ClaimStep::LOOK : ClaimStep::TAKE);
    }
}

} // namespace pomelowind::node
