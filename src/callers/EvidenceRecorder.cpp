#include "pomelowind/callers/EvidenceRecorder.h"

#include "pomelowind/moves/EvidenceBook.h"

namespace pomelowind::callers {

namespace {

    // Bounds the size of a report. Once it is reached, values that have no cell yet are not counted; a further account
    // is then counted under its route and target only.
    constexpr size_t MAX_CELLS = 512;

}

void EvidenceRecorder::count(
    const CallRecord& call, wire::EvidenceDimension::type dimension, const std::string& value, bool withLatency)
{
    Key key { call.serviceName, call.version, dimension, value, call.dataCentre };
    auto it = m_cells.find(key);
    if (it == m_cells.end()) {
        if (m_cells.size() >= MAX_CELLS)
            return;
        wire::EvidenceCell cell;
        cell.serviceName = call.serviceName;
        cell.version = call.version;
        cell.dimension = dimension;
        cell.value = value;
        cell.dataCentre = call.dataCentre;
        it = m_cells.emplace(key, cell).first;
    }
    ++it->second.calls;
    it->second.failures += call.failed ? 1 : 0;
    if (withLatency)
        ++it->second.latency[moves::latencyBucket(call.latency.count())];
}

void EvidenceRecorder::record(const CallRecord& call)
{
    count(call, wire::EvidenceDimension::ROUTE, call.route, call.countLatency);
    count(call, wire::EvidenceDimension::TARGET, call.target, false);
    count(call, wire::EvidenceDimension::ACCOUNT, call.account, false);
}

std::vector<wire::EvidenceCell> EvidenceRecorder::take()
{
    std::vector<wire::EvidenceCell> out;
    for (auto& [key, cell] : m_cells)
        out.push_back(std::move(cell));
    m_cells.clear();
    return out;
}

} // namespace pomelowind::callers
