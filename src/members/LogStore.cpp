#include "pomelowind/members/LogStore.h"

#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Log.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <utility>

namespace pomelowind::members {

namespace {

    constexpr char IDENTITY_FILE[] = "identity";
    constexpr char RECOVERING_FILE[] = "recovering";
    constexpr char SNAPSHOT_FILE[] = "snapshot";
    constexpr char SEGMENT_PREFIX[] = "log-";
    constexpr size_t MAX_SEGMENT_BYTES = 4 * 1024 * 1024;
    constexpr size_t DISK_ID_BYTES = 8;
    constexpr int64_t BOOTSTRAP_INDEX = 1;
    constexpr int64_t BOOTSTRAP_TERM = 1;

    // A BATCH record holds the hard state and entries of one write as items of u32 length, u8 type, content. The items
    // have no checksum of their own: a power loss can leave holes anywhere in the last write, which is then dropped as
    // a whole.
    enum RecordType : uint8_t { HARD_STATE = 1, ENTRY = 2, BATCH = 3 };

    // Record layout: u32 payload length, u8 type, u64 hash of type and payload, payload. Integers are in host byte
    // order.
    constexpr size_t RECORD_HEADER_BYTES = 13;

    uint64_t recordHash(uint8_t type, std::string_view payload) { return base::hash64(payload, type); }

    std::string frameRecord(uint8_t type, const std::string& payload)
    {
        auto n = static_cast<uint32_t>(payload.size());
        uint64_t hash = recordHash(type, payload);
        std::string out(RECORD_HEADER_BYTES, '\0');
        std::memcpy(out.data(), &n, sizeof n);
        out[4] = static_cast<char>(type);
        std::memcpy(out.data() + 5, &hash, sizeof hash);
        return out + payload;
    }

    struct ParsedRecord {
        uint8_t type { 0 };
        std::string_view payload;
        size_t bytes { 0 };
    };

    // Parses the record at the start of `data`. Returns nothing when it is incomplete or its hash does not match.
    std::optional<ParsedRecord> parseRecord(std::string_view data)
    {
        if (data.size() < RECORD_HEADER_BYTES)
            return std::nullopt;
        uint32_t n = 0;
        uint64_t hash = 0;
        std::memcpy(&n, data.data(), sizeof n);
        std::memcpy(&hash, data.data() + 5, sizeof hash);
        if (data.size() - RECORD_HEADER_BYTES < n)
            return std::nullopt;
        ParsedRecord record { static_cast<uint8_t>(data[4]), data.substr(RECORD_HEADER_BYTES, n),
            RECORD_HEADER_BYTES + n };
        if (recordHash(record.type, record.payload) != hash)
            return std::nullopt;
        return record;
    }

    constexpr size_t ITEM_HEADER_BYTES = 5;

    void appendItem(std::string& batch, uint8_t type, const std::string& content)
    {
        auto n = static_cast<uint32_t>(content.size());
        batch.append(reinterpret_cast<const char*>(&n), sizeof n);
        batch += static_cast<char>(type);
        batch += content;
    }

    // Returns true when a valid record starts anywhere behind the first byte of `data`. A crash leaves only the record
    // that was being appended incomplete, so a valid record behind an invalid one means damage and not a torn tail.
    bool hasRecordAfter(std::string_view data)
    {
        for (size_t at = 1; at + RECORD_HEADER_BYTES <= data.size(); ++at) {
            auto record = parseRecord(data.substr(at));
            if (record && (record->type >= HARD_STATE && record->type <= BATCH) && !record->payload.empty())
                return true;
        }
        return false;
    }

    base::UserError damagedRecordError(const std::string& file, size_t at)
    {
        return { base::ErrorKind::StorageDamaged,
            "record at byte " + std::to_string(at) + " of " + file + " is damaged",
            "do not delete the file alone: empty this host's whole data folder and restart it without --bootstrap, so "
            "that it returns as a recovering member" };
    }

    std::string segmentName(int64_t number)
    {
        char buf[32];
        std::snprintf(buf, sizeof buf, "%s%08lld", SEGMENT_PREFIX, static_cast<long long>(number));
        return buf;
    }

    // Appends `entry` after removing the entries at or after its index, which it replaces.
    void truncateAndAppend(std::vector<wire::Entry>& entries, wire::Entry entry)
    {
        while (!entries.empty() && entries.back().index >= entry.index)
            entries.pop_back();
        entries.push_back(std::move(entry));
    }

}

LogStore::LogStore(host::Disk& disk)
    : m_disk(disk)
{
}

DurableState LogStore::load(EmptyFolderMode emptyFolderMode, const wire::Membership& membership)
{
    if (!m_disk.exists(IDENTITY_FILE))
        initializeEmptyFolder(emptyFolderMode, membership);
    DurableState state;
    state.diskId = m_disk.read(IDENTITY_FILE);
    state.recovering = m_disk.exists(RECOVERING_FILE);
    if (m_disk.exists(SNAPSHOT_FILE)) {
        std::string content = m_disk.read(SNAPSHOT_FILE);
        auto record = parseRecord(content);
        if (!record)
            throw damagedRecordError(SNAPSHOT_FILE, 0);
        state.snapshot = base::decode<wire::SnapshotRecord>(record->payload);
        state.hardState.term = state.snapshot->term;
    }
    replaySegments(state);
    if (state.snapshot) {
        // Terms never decrease along a log. An older one above the snapshot is left from a log that the snapshot has
        // replaced, when the process ended before it had deleted all of it.
        std::erase_if(state.entries,
            [&](const wire::Entry& it) { return it.index <= state.snapshot->index || it.term < state.snapshot->term; });
        int64_t expected = state.snapshot->index + 1;
        if (!state.entries.empty() && state.entries.front().index != expected)
            throw damagedRecordError("log before index " + std::to_string(state.entries.front().index), 0);
    }
    m_hardState = state.hardState;
    openNextSegment();
    return state;
}

void LogStore::initializeEmptyFolder(EmptyFolderMode emptyFolderMode, const wire::Membership& membership)
{
    if (emptyFolderMode == EmptyFolderMode::Recover) {
        m_disk.replace(RECOVERING_FILE, "1");
    } else {
        wire::SnapshotRecord initial;
        initial.index = BOOTSTRAP_INDEX;
        initial.term = BOOTSTRAP_TERM;
        initial.membership = membership;
        writeSnapshotFile(initial);
    }
    // Written last: load() takes a folder without this file as empty, so a crash before this line is harmless.
    m_disk.replace(IDENTITY_FILE, base::sha256Hex(base::randomBytes(DISK_ID_BYTES)).substr(0, 2 * DISK_ID_BYTES));
}

void LogStore::replaySegments(DurableState& state)
{
    std::vector<std::string> names;
    for (const auto& it : m_disk.list()) {
        if (it.rfind(SEGMENT_PREFIX, 0) == 0 && it.find('.') == std::string::npos)
            names.push_back(it);
    }
    std::sort(names.begin(), names.end());
    for (size_t i = 0; i < names.size(); ++i) {
        replaySegment(names[i], i + 1 == names.size(), state);
        m_segments.push_back({ names[i], state.entries.empty() ? 0 : state.entries.back().index });
        m_nextSegment = std::atoll(names[i].c_str() + std::strlen(SEGMENT_PREFIX)) + 1;
    }
}

void LogStore::replaySegment(const std::string& name, bool isLast, DurableState& state)
{
    std::string content = m_disk.read(name);
    size_t at = 0;
    while (at < content.size()) {
        std::string_view remaining = std::string_view(content).substr(at);
        auto record = parseRecord(remaining);
        if (!record) {
            if (!isLast || hasRecordAfter(remaining))
                throw damagedRecordError(name, at);
            base::logWarn("log.tail_cut", { { "file", name }, { "at", at }, { "bytes", remaining.size() } });
            m_disk.truncate(name, at);
            return;
        }
        if (record->type == BATCH)
            replayBatch(record->payload, state);
        else
            replayItem(record->type, record->payload, state);
        at += record->bytes;
    }
}

void LogStore::replayItem(uint8_t type, std::string_view content, DurableState& state)
{
    if (type == HARD_STATE)
        state.hardState = base::decode<wire::HardState>(content);
    else
        truncateAndAppend(state.entries, base::decode<wire::Entry>(content));
}

void LogStore::replayBatch(std::string_view batch, DurableState& state)
{
    while (batch.size() >= ITEM_HEADER_BYTES) {
        uint32_t n = 0;
        std::memcpy(&n, batch.data(), sizeof n);
        replayItem(static_cast<uint8_t>(batch[4]), batch.substr(ITEM_HEADER_BYTES, n), state);
        batch.remove_prefix(std::min(batch.size(), ITEM_HEADER_BYTES + n));
    }
}

// Changes nothing but the new file until that file holds the hard state, without which a vote could be forgotten once
// the older segments are deleted.
void LogStore::openNextSegment()
{
    std::string name = segmentName(m_nextSegment);
    auto file = m_disk.open(name);
    if (std::exchange(m_nextSegmentTouched, true))
        file->truncate(0); // an earlier attempt may have written a part
    std::string bytes = frameRecord(HARD_STATE, base::encode(m_hardState));
    file->append(bytes);
    file->sync();
    m_file = std::move(file);
    m_segments.push_back({ name, 0 });
    m_segmentBytes = bytes.size();
    m_hasPartialRecord = m_nextSegmentTouched = false;
    ++m_nextSegment;
}

void LogStore::appendRecord(uint8_t type, const std::string& payload)
{
    // A partly written record must not remain in front of later records. A full disk may refuse to truncate too, so
    // this is done by the next attempt.
    if (m_hasPartialRecord)
        m_file->truncate(m_segmentBytes);
    std::string bytes = frameRecord(type, payload);
    m_hasPartialRecord = true;
    m_file->append(bytes);
    m_file->sync();
    m_hasPartialRecord = false;
    m_segmentBytes += bytes.size();
}

void LogStore::write(const std::optional<wire::HardState>& hardState, const std::vector<wire::Entry>& entries)
{
    if (m_segmentBytes >= MAX_SEGMENT_BYTES)
        openNextSegment();
    std::string batch;
    if (hardState)
        appendItem(batch, HARD_STATE, base::encode(*hardState));
    for (const auto& it : entries)
        appendItem(batch, ENTRY, base::encode(it));
    appendRecord(BATCH, batch);
    if (hardState)
        m_hardState = *hardState;
    for (const auto& it : entries)
        m_segments.back().lastIndex = std::max(m_segments.back().lastIndex, it.index);
}

void LogStore::writeSnapshotFile(const wire::SnapshotRecord& snapshot)
{
    m_disk.replace(SNAPSHOT_FILE, frameRecord(ENTRY, base::encode(snapshot)));
}

void LogStore::writeSnapshot(const wire::SnapshotRecord& snapshot)
{
    writeSnapshotFile(snapshot);
    removeCoveredSegments(snapshot.index);
}

void LogStore::removeCoveredSegments(int64_t index)
{
    while (m_segments.size() > 1 && m_segments.front().lastIndex <= index) {
        m_disk.remove(m_segments.front().name);
        m_segments.erase(m_segments.begin());
    }
}

void LogStore::installSnapshot(const wire::SnapshotRecord& snapshot, const wire::HardState& hardState)
{
    writeSnapshotFile(snapshot);
    m_hardState = hardState;
    openNextSegment();
    // Newest first: if the process ends meanwhile, what remains has no gap behind the snapshot.
    while (m_segments.size() > 1) {
        auto old = m_segments.end() - 2;
        m_disk.remove(old->name);
        m_segments.erase(old);
    }
}

void LogStore::markReinstated() { m_disk.remove(RECOVERING_FILE); }

} // namespace pomelowind::members
