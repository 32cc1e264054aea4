#include "pomelowind/callers/EvidenceRecorder.h"

#include "pomelowind/moves/EvidenceAggregator.h"

namespace pomelowind::callers {

namespace {

    // Bounds the size of a report. Once it is reached, values that have no cell yet are not counted; a further account
    // is then counted under its route and target only.
    constexpr size_t MAX_CELLS = 512;

}

void EvidenceRecorder::count(
    const AttemptRecord& attempt, wire::EvidenceDimension::type dimension, const std::string& value, bool withLatency)
{
    Key key { attempt.serviceName, attempt.version, dimension, value, attempt.dataCentre };
    auto it = m_cells.find(key);
    if (it == m_cells.end()) {
        if (m_cells.size() >= MAX_CELLS)
            return;
        wire::EvidenceCell cell;
        cell.serviceName = attempt.serviceName;
        cell.version = attempt.version;
        cell.dimension = dimension;
        cell.value = value;
        cell.dataCentre = attempt.dataCentre;
        it = m_cells.emplace(key, cell).first;
    }
    ++it->second.calls;
    it->second.failures += attempt.failed ? 1 : 0;
    if (withLatency)
        ++it->second.latency[moves::latencyBucket(attempt.latency.count())];
}

void EvidenceRecorder::record(const AttemptRecord& attempt)
{
    count(attempt, wire::EvidenceDimension::ROUTE, attempt.route, attempt.countLatency);
    count(attempt, wire::EvidenceDimension::TARGET, attempt.target, false);
    count(attempt, wire::EvidenceDimension::ACCOUNT, attempt.account, false);
}

std::vector<wire::EvidenceCell> EvidenceRecorder::takeCounts()
{
    std::vector<wire::EvidenceCell> out;
    for (auto& [key, cell] : m_cells)
        out.push_back(std::move(cell));
    m_cells.clear();
    return out;
}

} // namespace pomelowind::callers
