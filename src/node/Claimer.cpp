#include "Claimer.h"

#include <algorithm>

namespace pomelowind::node {

using claims::ClaimDecision;
using wire::ClaimStep;

namespace {

    constexpr auto HOLDER_TIMEOUT = base::Millis(1000);
    constexpr auto LOOK_PERIOD = base::Millis(50);
    constexpr auto TELL_TIMEOUT = base::Millis(2000);

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
        out.epoch = handle.place.epoch;
        return out;
    }

}

// One request to all holders, and their answers so far.
struct Claimer::Round {
    ClaimHandle handle;
    base::Instant deadline;
    Done done;
    claims::ClaimAnswers answers;
    size_t outstanding { 0 };
    bool looking { false };
    bool concluded { false };
};

Claimer::Claimer(const NodeSettings& settings, PeerCalls& peers, const base::Clock& clock)
    : m_settings(settings)
    , m_peers(peers)
    , m_clock(clock)
    , m_table(tableOptions(settings), clock.wallMs())
    , m_ownerPrefix(settings.id + "/" + std::to_string(clock.wallMs()) + "/")
{
}

std::string Claimer::newOwner() { return m_ownerPrefix + std::to_string(m_nextOwner++); }

void Claimer::take(const ClaimHandle& handle, base::Instant deadline, Done done)
{
    auto round = std::make_shared<Round>();
    round->handle = handle;
    round->deadline = deadline;
    round->done = std::move(done);
    // A key whose time is slightly in the future is claimed only then. A holder vouches for every key whose time is
    // after the holder's start, so one that restarted before that time would vouch for a key whose claim it had lost.
    if (handle.place.waitMs > 0) {
        m_lookAgain.emplace(m_clock.now() + base::Millis(handle.place.waitMs), round);
        return;
    }
    ask(round, ClaimStep::TAKE);
}

void Claimer::ask(const std::shared_ptr<Round>& round, ClaimStep::type step)
{
    const auto& holders = round->handle.place.holders;
    auto now = m_clock.now();
    auto budget = std::min(HOLDER_TIMEOUT, std::chrono::duration_cast<base::Millis>(round->deadline - now));
    budget = std::max(budget, base::Millis(1));
    round->answers.assign(holders.size(), std::nullopt);
    round->outstanding = holders.size();
    round->looking = step == ClaimStep::LOOK;
    auto request = makeRequest(round->handle, step);
    for (size_t i = 0; i < holders.size(); ++i) {
        if (holders[i].node == m_settings.id) {
            answered(round, i, m_table.handle(request, m_clock.wallMs()));
            continue;
        }
        m_peers.claim(holders[i].address, request, budget, now,
            [this, round, i](std::optional<wire::ClaimAnswer> answer) { answered(round, i, std::move(answer)); });
    }
}

void Claimer::answered(const std::shared_ptr<Round>& round, size_t holder, std::optional<wire::ClaimAnswer> answer)
{
    if (round->concluded || !round->outstanding)
        return;
    round->answers[holder] = std::move(answer);
    --round->outstanding;
    auto decision = claims::decideClaim(round->answers, round->handle.place.needed, round->outstanding == 0);
    if (decision != ClaimDecision::Wait)
        conclude(round, decision);
}

void Claimer::conclude(const std::shared_ptr<Round>& round, ClaimDecision decision)
{
    auto now = m_clock.now();
    bool hasTime = now + LOOK_PERIOD < round->deadline;
    // Grants of a lost race are kept while polling; they block no other key.
    if (decision == ClaimDecision::Pending && hasTime) {
        round->outstanding = 0;
        round->looking = true;
        m_lookAgain.emplace(now + LOOK_PERIOD, round);
        return;
    }
    // The other attempt has released the key without running the request: claim it again.
    bool freed = round->looking && (decision == ClaimDecision::NotRun || decision == ClaimDecision::Run);
    if (freed && hasTime) {
        round->outstanding = 0;
        round->looking = false;
        m_lookAgain.emplace(now + LOOK_PERIOD, round);
        return;
    }
    round->concluded = true;
    ClaimOutcome out;
    out.decision = freed || decision == ClaimDecision::Pending ? ClaimDecision::Unknown : decision;
    for (const auto& it : round->answers) {
        if (it && it->verdict == wire::ClaimVerdict::DONE)
            out.answer = it->answer;
    }
    if (out.decision != ClaimDecision::Run && out.decision != ClaimDecision::Replay)
        release(round->handle);
    round->done(out);
}

void Claimer::tell(const ClaimHandle& handle, ClaimStep::type step, const wire::CallAnswer* answer)
{
    auto request = makeRequest(handle, step);
    if (answer)
        request.__set_answer(*answer);
    for (const auto& it : handle.place.holders) {
        if (it.node == m_settings.id)
            m_table.handle(request, m_clock.wallMs());
        else
            m_peers.claim(it.address, request, TELL_TIMEOUT, m_clock.now(), [](const auto&) {});
    }
}

void Claimer::complete(const ClaimHandle& handle, const wire::CallAnswer& answer)
{
    tell(handle, ClaimStep::COMPLETE, &answer);
}

void Claimer::release(const ClaimHandle& handle) { tell(handle, ClaimStep::RELEASE, nullptr); }

wire::ClaimAnswer Claimer::serve(const wire::ClaimRequest& request, const MeshViewPtr& view)
{
    const auto* ring = view && view->config ? view->config->claimRing() : nullptr;
    if (ring && request.step == ClaimStep::TAKE) {
        auto place = claims::placeClaim(*ring, request.key, m_clock.wallMs(), view->claimsThroughMs);
        if (place.epoch > request.epoch) {
            wire::ClaimAnswer out;
            out.id = request.id;
            out.verdict = wire::ClaimVerdict::WRONG_EPOCH;
            return out;
        }
    }
    return m_table.handle(request, m_clock.wallMs());
}

void Claimer::sweep(base::Instant now)
{
    while (!m_lookAgain.empty() && m_lookAgain.begin()->first <= now) {
        auto round = m_lookAgain.begin()->second;
        m_lookAgain.erase(m_lookAgain.begin());
        ask(round, round->looking ? ClaimStep::LOOK : ClaimStep::TAKE);
    }
}

} // namespace pomelowind::node
