// Checks that the log store detects torn writes, flipped bits and a full disk, and loses no acknowledged entry.

#include "pomelowind/base/Errors.h"
#include "pomelowind/members/LogStore.h"

#include <gtest/gtest.h>
#include <map>

using namespace pomelowind;
using members::EmptyFolderMode;
using members::LogStore;

namespace {

// In-memory disk with limited space, whose files a test can damage.
class FakeDisk final : public host::Disk {
public:
    class File final : public host::AppendFile {
    public:
        File(FakeDisk& disk, std::string name)
            : m_disk(disk)
            , m_name(std::move(name))
        {
        }
        void append(std::string_view bytes) override
        {
            // As on a real disk, the bytes that fit are written before the error.
            auto written = bytes.substr(0, m_disk.freeBytes);
            m_disk.freeBytes -= written.size();
            m_disk.files[m_name].append(written);
            if (written.size() < bytes.size())
                throw base::UserError(base::ErrorKind::StorageFull, "disk is full", "free space on it");
        }
        void sync() override { }
        void truncate(size_t bytes) override { m_disk.files[m_name].resize(bytes); }

    private:
        FakeDisk& m_disk;
        std::string m_name;
    };

    std::vector<std::string> list() override
    {
        std::vector<std::string> out;
        for (const auto& [name, content] : files)
            out.push_back(name);
        return out;
    }
    std::string read(const std::string& name) override { return files.at(name); }
    bool exists(const std::string& name) override { return files.count(name) > 0; }
    std::unique_ptr<host::AppendFile> open(const std::string& name) override
    {
        files[name];
        return std::make_unique<File>(*this, name);
    }
    void replace(const std::string& name, std::string_view content) override { files[name] = content; }
    void truncate(const std::string& name, size_t bytes) override { files[name].resize(bytes); }
    void remove(const std::string& name) override { files.erase(name); }

    std::map<std::string, std::string> files;
    size_t freeBytes { 1 << 20 };
};

wire::Entry entry(int64_t index)
{
    wire::Entry out;
    out.index = index;
    out.term = 1;
    out.kind = wire::EntryKind::COMMAND;
    out.data = "entry " + std::to_string(index);
    return out;
}

wire::Membership threeVoters()
{
    wire::Membership out;
    out.voters = { "a", "b", "c" };
    return out;
}

void writeEntries(FakeDisk& disk, int64_t first, int64_t last)
{
    LogStore store(disk);
    store.load(EmptyFolderMode::Bootstrap, threeVoters());
    for (int64_t i = first; i <= last; ++i)
        store.write(std::nullopt, { entry(i) });
}

std::string& firstSegment(FakeDisk& disk) { return disk.files.at("log-00000001"); }

}

TEST(DamagedDiskIsNoticed, EntriesSurviveARestart)
{
    FakeDisk disk;
    writeEntries(disk, 2, 6);
    auto state = LogStore(disk).load(EmptyFolderMode::Recover, {});
    ASSERT_EQ(state.entries.size(), 5u);
    EXPECT_FALSE(state.recovering);
    EXPECT_EQ(state.snapshot->membership.voters.size(), 3u);
}

TEST(DamagedDiskIsNoticed, ATornTailIsTruncatedAtEveryByte)
{
    FakeDisk whole;
    writeEntries(whole, 2, 4);
    size_t size = firstSegment(whole).size();
    for (size_t cut = 1; cut < 20; ++cut) {
        FakeDisk disk = whole;
        firstSegment(disk).resize(size - cut);
        auto state = LogStore(disk).load(EmptyFolderMode::Recover, {});
        ASSERT_EQ(state.entries.size(), 2u) << cut;
    }
}

TEST(DamagedDiskIsNoticed, DamageBeforeTheTailIsAnErrorWithARemedy)
{
    FakeDisk disk;
    writeEntries(disk, 2, 9);
    firstSegment(disk)[60] ^= 1;
    try {
        LogStore(disk).load(EmptyFolderMode::Recover, {});
        FAIL() << "damage was not detected";
    } catch (const base::UserError& e) {
        EXPECT_EQ(e.kind(), base::ErrorKind::StorageDamaged);
        EXPECT_FALSE(e.remedy().empty());
    }
}

TEST(DamagedDiskIsNoticed, AFullDiskRefusesWritesAndKeepsAcknowledgedEntries)
{
    FakeDisk disk;
    LogStore store(disk);
    store.load(EmptyFolderMode::Bootstrap, threeVoters());
    store.write(std::nullopt, { entry(2) });
    disk.freeBytes = 10;
    EXPECT_THROW(store.write(std::nullopt, { entry(3) }), base::UserError);
    disk.freeBytes = 1 << 20;
    EXPECT_EQ(LogStore(disk).load(EmptyFolderMode::Recover, {}).entries.size(), 1u);
}

TEST(DamagedDiskIsNoticed, AWriteThatFailedOnAFullDiskCanBeRetried)
{
    FakeDisk disk;
    LogStore store(disk);
    store.load(EmptyFolderMode::Bootstrap, threeVoters());
    store.write(std::nullopt, { entry(2) });
    disk.freeBytes = 10;
    EXPECT_THROW(store.write(std::nullopt, { entry(3) }), base::UserError);
    disk.freeBytes = 1 << 20;
    store.write(std::nullopt, { entry(3) });
    store.write(std::nullopt, { entry(4) });
    EXPECT_EQ(LogStore(disk).load(EmptyFolderMode::Recover, {}).entries.size(), 3u);
}

// After a power loss, any part of the last write may be missing. Later parts of the same write that did reach the disk
// must not make the hole look like damage to acknowledged data.
TEST(DamagedDiskIsNoticed, AnIncompleteLastWriteIsDroppedAsAWhole)
{
    FakeDisk whole;
    LogStore store(whole);
    store.load(EmptyFolderMode::Bootstrap, threeVoters());
    store.write(std::nullopt, { entry(2) });
    size_t durable = firstSegment(whole).size();
    wire::HardState vote;
    vote.term = 7;
    vote.votedFor = "b";
    store.write(vote, { entry(3), entry(4), entry(5) });
    size_t size = firstSegment(whole).size();
    for (size_t at = durable; at < size; ++at) {
        FakeDisk disk = whole;
        firstSegment(disk)[at] ^= 0x55;
        auto state = LogStore(disk).load(EmptyFolderMode::Recover, {});
        ASSERT_EQ(state.entries.size(), 1u) << at;
        ASSERT_NE(state.hardState.term, 7) << at;
    }
}

TEST(DamagedDiskIsNoticed, ASnapshotRemovesCoveredSegmentsAndKeepsLaterEntries)
{
    FakeDisk disk;
    writeEntries(disk, 2, 4);
    LogStore store(disk);
    store.load(EmptyFolderMode::Recover, {});
    store.write(std::nullopt, { entry(5) });
    wire::SnapshotRecord snapshot;
    snapshot.index = 4;
    snapshot.term = 1;
    store.writeSnapshot(snapshot);
    EXPECT_FALSE(disk.exists("log-00000001"));
    auto state = LogStore(disk).load(EmptyFolderMode::Recover, {});
    ASSERT_EQ(state.entries.size(), 1u);
    EXPECT_EQ(state.entries.front().index, 5);
}

TEST(DamagedDiskIsNoticed, AnEmptyFolderStartsAsRecoveringUntilReinstated)
{
    FakeDisk disk;
    LogStore store(disk);
    EXPECT_TRUE(store.load(EmptyFolderMode::Recover, threeVoters()).recovering);
    store.markReinstated();
    EXPECT_FALSE(LogStore(disk).load(EmptyFolderMode::Recover, {}).recovering);
}
