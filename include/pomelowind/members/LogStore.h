// Durable storage of one replica: hard state (term, vote, leader), log entries and snapshot, kept as checksummed
// records in one data folder. A control host loads it at startup and then writes what the Replica returns in Ready. A
// record left incomplete by a crash at the end of the last segment is truncated. Any other damage stops the process
// with an error and a remedy, because the host may have acknowledged the damaged entries.
#pragma once

#include "pomelowind/base/Wire.h"
#include "pomelowind/host/Disk.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::members {

// The stored state with which a replica starts.
struct DurableState {
    std::string diskId;
    bool recovering { false };
    wire::HardState hardState;
    std::optional<wire::SnapshotRecord> snapshot;
    std::vector<wire::Entry> entries;
};

// How to initialize an empty data folder.
enum class EmptyFolderMode {
    Bootstrap, // first start of a new mesh: this host may vote at once
    Recover, // the host is new or lost its disk: it must not vote until the group has reinstated it
};

// Segmented log and snapshot file in one data folder.
// Thread safety: after load(), confined to the disk's event loop thread.
class LogStore {
public:
    // Precondition: `disk` outlives the store.
    explicit LogStore(host::Disk& disk);

    // Reads the stored state and opens a new segment. An empty folder is initialized first: with `membership` as the
    // first snapshot for EmptyFolderMode::Bootstrap, as a recovering host for EmptyFolderMode::Recover.
    // Throws UserError(StorageDamaged) when a record before the tail is damaged.
    DurableState load(EmptyFolderMode emptyFolderMode, const wire::Membership& membership);

    // Writes the hard state and entries and returns once they are durable. The entries replace all stored entries from
    // entries.front().index on. Throws UserError(StorageFull); the caller must then acknowledge nothing, and may retry
    // the same write.
    void write(const std::optional<wire::HardState>& hardState, const std::vector<wire::Entry>& entries);
    // The methods below throw like write(), and may be retried like it.
    // Stores a snapshot of this host's state machine and deletes the segments that it covers.
    void writeSnapshot(const wire::SnapshotRecord& snapshot);
    // Stores a snapshot received from the leader, with the hard state, and deletes all log entries.
    void installSnapshot(const wire::SnapshotRecord& snapshot, const wire::HardState& hardState);
    // Records durably that the group has reinstated this host as a voter.
    void markReinstated();

private:
    struct Segment {
        std::string name;
        int64_t lastIndex { 0 }; // highest index of an entry in the segment
    };

    void initializeEmptyFolder(EmptyFolderMode emptyFolderMode, const wire::Membership& membership);
    void replaySegments(DurableState& state);
    void replaySegment(const std::string& name, bool isLast, DurableState& state);
    static void replayItem(uint8_t type, std::string_view content, DurableState& state);
    static void replayBatch(std::string_view batch, DurableState& state);
    void openNextSegment();
    void appendRecord(uint8_t type, const std::string& payload);
    void removeCoveredSegments(int64_t index);
    void writeSnapshotFile(const wire::SnapshotRecord& snapshot);

    host::Disk& m_disk;
    std::unique_ptr<host::AppendFile> m_file;
    std::vector<Segment> m_segments;
    wire::HardState m_hardState;
    int64_t m_nextSegment { 1 };
    size_t m_segmentBytes { 0 };
    bool m_hasPartialRecord { false }; // behind m_segmentBytes, after a failed append
    bool m_nextSegmentTouched { false }; // an attempt to open the next segment has failed
};

} // namespace pomelowind::members
