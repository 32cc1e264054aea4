#include "pomelowind/targets/ColdTargets.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace pomelowind::targets {

namespace {

    constexpr double MS_PER_SECOND = 1000;
    // Time for which a target counts as cold after an answer that says so, unless its presence says longer.
    constexpr auto ANSWER_LIFETIME = base::Millis(500);
    constexpr auto MAX_INTERVAL = base::Millis(60000);

}

ColdTargets::ColdTargets(std::string dataCentre, uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_random(seed)
{
}

void ColdTargets::becomeCold(Entry& entry, base::Instant until, base::Instant now)
{
    // A random first turn, so that the nodes do not all send their first calls at once.
    if (now >= entry.coldUntil) {
        auto interval = static_cast<uint64_t>(std::max<int64_t>(1, entry.interval.count()));
        entry.nextTurn = now + base::Millis(static_cast<int64_t>(m_random.uniformBelow(interval)));
    }
    entry.coldUntil = until;
    m_lastColdUntil = std::max(m_lastColdUntil, until);
}

void ColdTargets::update(const nodes::TargetList& targets, base::Instant asOf, const ColdRates& rates)
{
    if (rates.empty()) {
        m_entries.clear();
        return;
    }
    std::map<std::string_view, std::set<std::string_view>> nodesByDataCentre;
    for (const auto& it : targets)
        nodesByDataCentre[it.dataCentre].insert(it.node);
    std::set<std::string_view> present;
    for (const auto& it : targets) {
        auto rate = rates.find(it.serviceName);
        if (rate == rates.end() || rate->second <= 0)
            continue;
        present.insert(it.target);
        auto& entry = m_entries[it.target];
        auto nodes = static_cast<double>(nodesByDataCentre[it.dataCentre].size());
        double ms = nodes * MS_PER_SECOND / rate->second;
        entry.interval = base::Millis(static_cast<int64_t>(std::min(ms, static_cast<double>(MAX_INTERVAL.count()))));
        // Each list repeats what was announced; the answers of the gate may have told more since.
        if (entry.incarnation == it.incarnation && entry.sequence == it.sequence)
            continue;
        entry.incarnation = it.incarnation;
        entry.sequence = it.sequence;
        becomeCold(entry, asOf + base::Millis(it.coldLeftMs), asOf);
    }
    std::erase_if(m_entries, [&](const auto& it) { return !present.count(it.first); });
}

const ColdTargets::Entry* ColdTargets::findCold(const std::string& target, base::Instant now) const
{
    auto it = m_entries.find(target);
    return it == m_entries.end() || now >= it->second.coldUntil ? nullptr : &it->second;
}

bool ColdTargets::isCold(const std::string& target, base::Instant now) const { return findCold(target, now); }

int ColdTargets::count(base::Instant now) const
{
    return static_cast<int>(
        std::count_if(m_entries.begin(), m_entries.end(), [now](const auto& it) { return now < it.second.coldUntil; }));
}

ColdTargets::Candidates ColdTargets::available(const Candidates& all, base::Instant now) const
{
    if (m_entries.empty() || now >= m_lastColdUntil)
        return all;
    Candidates out;
    Candidates remoteCold;
    const wire::Presence* next = nullptr;
    base::Instant nextTurn;
    for (const auto* it : all) {
        const auto* cold = findCold(it->target, now);
        if (!cold || (cold->nextTurn <= now && it->dataCentre == m_dataCentre))
            out.push_back(it);
        else if (cold->nextTurn <= now)
            remoteCold.push_back(it);
        else if (!next || cold->nextTurn < nextTurn) {
            next = it;
            nextTurn = cold->nextTurn;
        }
    }
    if (!out.empty())
        return out;
    if (!remoteCold.empty())
        return remoteCold;
    return next ? Candidates { next } : Candidates {};
}

void ColdTargets::onChosen(const std::string& target, base::Instant now)
{
    auto it = m_entries.find(target);
    if (it == m_entries.end() || now >= it->second.coldUntil)
        return;
    auto& entry = it->second;
    // A turn that was not used is kept, but not more than one.
    entry.nextTurn = std::max(entry.nextTurn, now - entry.interval) + entry.interval;
}

void ColdTargets::onAnswered(
    const std::string& target, bool cold, bool refused, base::Millis retryAfter, base::Instant now)
{
    auto it = m_entries.find(target);
    if (it == m_entries.end())
        return;
    auto& entry = it->second;
    if (!cold) {
        // A refusal may come from a node that does not know the target.
        if (!refused)
            entry.coldUntil = std::min(entry.coldUntil, now);
        return;
    }
    auto atLeast = now + std::max(retryAfter, ANSWER_LIFETIME);
    if (entry.coldUntil < atLeast)
        becomeCold(entry, atLeast, now);
    if (refused)
        entry.nextTurn = std::max(entry.nextTurn, now + retryAfter);
}

} // namespace pomelowind::targets
