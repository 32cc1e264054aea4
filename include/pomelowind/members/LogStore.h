// Durable state of one replica: hard state, log entries and snapshot, as checksummed records in one data folder.
// A record torn by a crash at the end of the last segment is cut; any other damage stops the process with a remedy.
#pragma once

#include "pomelowind/base/Wire.h"
#include "pomelowind/host/Disk.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::members {

// What a replica starts from.
struct DurableState {
    std::string diskId;
    bool recovering { false };
    wire::HardState hardState;
    std::optional<wire::SnapshotRecord> snapshot;
    std::vector<wire::Entry> entries;
};

// How to start on an empty data folder.
enum class EmptyStart {
    Bootstrap, // first start of a new mesh: this host may vote at once
    Recover, // this host lost its disk or is new: it votes only after it has been reinstated
};

// Thread safety: confined to the disk duty after load().
class LogStore {
public:
    // Precondition: `disk` outlives the store.
    explicit LogStore(host::Disk& disk);

    // Reads everything; on an empty folder prepares it as `emptyStart` and `membership` say.
    // Throws UserError(StorageDamaged) when a record before the tail is damaged.
    DurableState load(EmptyStart emptyStart, const wire::Membership& membership);

    // Writes the hard state and entries and returns once they are durable. Entries from entries.front().index on
    // replace what was stored there. Throws UserError(StorageFull); nothing may then be acknowledged, and the same
    // write may be tried again.
    void write(const std::optional<wire::HardState>& hardState, const std::vector<wire::Entry>& entries);
    // Stores a snapshot and drops the segments it covers.
    void writeSnapshot(const wire::SnapshotRecord& snapshot);
    // Stores a snapshot received from the leader and empties the log.
    void installSnapshot(const wire::SnapshotRecord& snapshot, const wire::HardState& hardState);
    // Remembers that this host has been reinstated as a voter.
    void markReinstated();

private:
    struct Segment {
        std::string name;
        int64_t lastIndex { 0 };
    };

    void prepareEmpty(EmptyStart emptyStart, const wire::Membership& membership);
    void replaySegments(DurableState& state);
    void replaySegment(const std::string& name, bool isLast, DurableState& state);
    static void replayPart(uint8_t type, std::string_view content, DurableState& state);
    static void replayBatch(std::string_view batch, DurableState& state);
    void openSegment();
    void appendRecord(uint8_t type, const std::string& payload);
    void dropCoveredSegments(int64_t index);
    void writeSnapshotFile(const wire::SnapshotRecord& snapshot);

    host::Disk& m_disk;
    std::unique_ptr<host::AppendFile> m_file;
    std::vector<Segment> m_segments;
    wire::HardState m_hardState;
    int64_t m_nextSegment { 1 };
    size_t m_segmentBytes { 0 };
};

} // namespace pomelowind::members
