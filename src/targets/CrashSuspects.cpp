#include "pomelowind/targets/CrashSuspects.h"

#include "pomelowind/base/Hash.h"

#include <algorithm>
#include <utility>

namespace pomelowind::targets {

namespace {

    // Crashes without a response in between after which a call is blocked. With fewer, a bystander of two crashes is
    // blocked; with more, each crashing call costs one more target.
    constexpr int BLOCKING_CRASHES = 3;
    // Several times as long as crashed targets take to start again. A frequent call that ran at three targets that lost
    // power together is blocked, too, and the first trial soon shows that it is innocent.
    constexpr auto FIRST_BLOCK = base::Millis(30000);
    // Time in which operators can replace a faulty version. It doubles with each further trial that crashes its target,
    // since trials cost targets, and stays below the time for which crashes are remembered.
    constexpr auto SECOND_BLOCK = base::Millis(600000);
    constexpr auto LONGEST_BLOCK = base::Millis(2400000);
    // The nodes' trials of a call are spread over this time, so that the crash of the first one is known to the others.
    constexpr auto TRIAL_SPREAD = base::Millis(30000);
    // Time in which the outcome of a trial reaches this node. Crashes that follow each other sooner belong together.
    constexpr auto TRIAL_TIME = base::Millis(10000);

}

CrashSuspects::CrashSuspects(std::string node)
    : m_node(std::move(node))
{
}

std::vector<uint64_t> CrashSuspects::update(const std::vector<wire::TargetCrash>& crashes, base::Instant now)
{
    std::unordered_map<uint64_t, Suspect> next;
    for (const auto& crash : crashes) {
        for (int64_t it : crash.calls) {
            bool isCleared = std::find(crash.cleared.begin(), crash.cleared.end(), it) != crash.cleared.end();
            auto& suspect = next[static_cast<uint64_t>(it)];
            ++(isCleared ? suspect.cleared : suspect.crashes);
        }
    }
    std::erase_if(next, [](const auto& it) { return it.second.crashes == 0; });
    std::vector<uint64_t> blocked;
    for (auto& [fingerprint, suspect] : next) {
        auto known = m_suspects.find(fingerprint);
        bool hasResponded = known != m_suspects.end() && suspect.cleared > known->second.cleared;
        auto before = known == m_suspects.end() || hasResponded ? Suspect() : known->second;
        if (before.crashes >= suspect.crashes) {
            suspect = { suspect.crashes, suspect.cleared, before.lastCrashAt, before.block, before.nextTrial };
            continue;
        }
        suspect.lastCrashAt = now;
        if (suspect.crashes < BLOCKING_CRASHES && before.block == base::Millis(0))
            continue;
        bool isAfterTrial = before.block > base::Millis(0) && now - before.lastCrashAt > TRIAL_TIME;
        suspect.block = isAfterTrial ? std::clamp(2 * before.block, SECOND_BLOCK, LONGEST_BLOCK)
                                     : std::max(before.block, FIRST_BLOCK);
        if (before.block == base::Millis(0))
            blocked.push_back(fingerprint);
        auto share = base::hash64(m_node, fingerprint) % static_cast<uint64_t>(TRIAL_SPREAD.count());
        suspect.nextTrial = now + suspect.block + base::Millis(static_cast<int64_t>(share));
    }
    m_suspects = std::move(next);
    return blocked;
}

CrashSuspicion CrashSuspects::check(uint64_t fingerprint, base::Instant now)
{
    auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end())
        return {};
    auto& suspect = it->second;
    CrashSuspicion out;
    out.crashes = suspect.crashes;
    if (suspect.block == base::Millis(0))
        return out;
    if (now >= suspect.nextTrial) {
        suspect.nextTrial = now + TRIAL_TIME;
        out.isTrial = true;
        return out;
    }
    out.blocked = true;
    out.retryAfter = std::chrono::ceil<base::Millis>(suspect.nextTrial - now);
    return out;
}

int CrashSuspects::crashesOf(uint64_t fingerprint) const
{
    auto it = m_suspects.find(fingerprint);
    return it == m_suspects.end() ? 0 : it->second.crashes;
}

} // namespace pomelowind::targets
