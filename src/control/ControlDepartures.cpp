// The part of ControlCore that records the departures of targets in the log, and proves to subscribers that they know
// all recorded ones; see docs/design/distribution.md.

#include "ControlCore.h"
#include "SystemCommand.h"
#include "pomelowind/base/Packing.h"

#include <algorithm>
#include <utility>

namespace pomelowind::control {

using base::Millis;
using links::FrameKind;

namespace {

    // Departures in one log entry. Those of a whole data centre fit into a few.
    constexpr size_t MAX_DEPARTURES_PER_ENTRY = 256;
    // Until a host that cannot prove that its state is the newest tries again.
    constexpr auto DIRECTORY_PROOF_RETRY = Millis(100);

}

// Marks the departures among the changed entries that are in the log already, as a node does not know after a restart,
// and remembers the others until they are.
void ControlCore::recordReportedDepartures(nodes::DirectoryEntries& change)
{
    for (auto& it : change.targets) {
        // An announcement without a number has no order that a later process could compare.
        if (!it.leaves || it.recorded || !it.noticeSequence)
            continue;
        auto known = m_machine.departures().find(it.target);
        bool isRecorded = known != m_machine.departures().end() && known->second.incarnation == it.targetIncarnation
            && known->second.noticeSequence >= it.noticeSequence;
        if (!isRecorded) {
            m_unrecordedDepartures.insert(it.target);
            continue;
        }
        for (auto& merged : m_directory.mergeDepartures({ known->second }, m_now).targets)
            it = std::move(merged);
    }
    proposeDepartures();
}

void ControlCore::addRecordedDepartures(const std::vector<wire::Departure>& departures)
{
    wire::Spread out;
    out.targets = m_directory.mergeDepartures(departures, m_now).targets;
    if (!out.targets.empty())
        broadcastToNodes(out);
}

// One proposal at a time: what is reported meanwhile is in the next one. The term tells a proposal that a change of the
// leader has overwritten.
void ControlCore::proposeDepartures()
{
    std::erase_if(m_unrecordedDepartures, [this](const std::string& target) {
        const auto* it = m_directory.findTarget(target);
        return !it || !it->leaves || it->recorded;
    });
    bool isInFlight = m_departuresTerm == m_replica.term() && m_departuresIndex > m_appliedIndex;
    if (m_unrecordedDepartures.empty() || !m_replica.isLeader() || isDiskBehind() || isInFlight)
        return;
    std::vector<wire::Departure> departures;
    for (const auto& target : m_unrecordedDepartures) {
        const auto* it = m_directory.findTarget(target);
        wire::Departure departure;
        departure.target = target;
        departure.incarnation = it->targetIncarnation;
        departure.noticeSequence = it->noticeSequence;
        departures.push_back(std::move(departure));
        if (departures.size() >= MAX_DEPARTURES_PER_ENTRY)
            break;
    }
    auto command = systemCommand(wire::CommandKind::RECORD_DEPARTURES, m_wallMs);
    command.__set_departures(departures);
    auto index = m_replica.propose(wire::EntryKind::COMMAND, base::pack(base::encode(command)), m_now);
    if (!index)
        return;
    m_departuresIndex = *index;
    m_departuresTerm = m_replica.term();
}

// Tells subscribers that they have all departures that were recorded before they subscribed. A host that has just
// started, or that follows the leader late, may lack some, so it first has to prove that it has applied the newest
// entry.
void ControlCore::proveDirectories()
{
    if (m_unprovenDirectories.empty() || m_provingDirectories || m_now < m_proveDirectoriesDue)
        return;
    m_provingDirectories = true;
    m_directoriesInProof = std::exchange(m_unprovenDirectories, {});
    auto done = [this](bool isProven) {
        m_provingDirectories = false;
        if (!isProven)
            m_proveDirectoriesDue = m_now + DIRECTORY_PROOF_RETRY;
        const auto subscribers = std::exchange(m_directoriesInProof, {});
        const auto connected = m_publisher.connected();
        for (const auto& it : subscribers) {
            if (std::find(connected.begin(), connected.end(), it) == connected.end())
                continue;
            if (!isProven) {
                m_unprovenDirectories.insert(it);
                continue;
            }
            wire::Spread out;
            out.complete = true;
            m_outputs.sendToNode(it, FrameKind::SPREAD, base::encode(out));
        }
    };
    readBarrier(done, m_now);
}

} // namespace pomelowind::control
