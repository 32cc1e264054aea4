// A disk that is full for a while, at any operation: writes are retried until they succeed, the process may end between
// two attempts, and the next start finds all that was acknowledged, in a log that it accepts.

#include "pomelowind/members/LogStore.h"
#include "tests/support/FullDisk.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using members::EmptyFolderMode;
using members::LogStore;

namespace {

constexpr int SEEDS = 60; // some seconds; 400 were run by hand
constexpr int STEPS = 60;

// What has been acknowledged, and what the write in progress would add.
struct Model {
    std::map<int64_t, int64_t> terms; // by index, above the snapshot
    int64_t snapshotIndex { 1 };
    wire::HardState hardState;
};

class StoreRun {
public:
    explicit StoreRun(uint64_t seed)
        : m_random(seed)
        , m_disk(seed + 1)
    {
        m_acknowledged.hardState.term = 1;
        start();
    }

    void step()
    {
        if (m_random.uniformBelow(4) == 0)
            m_disk.setRefusal(m_random.uniformBelow(2) ? 0 : 0.2 + 0.8 * m_random.uniformReal());
        auto next = m_acknowledged;
        auto write = nextWrite(next);
        for (int attempt = 0;; ++attempt) {
            if (attempt > 20)
                m_disk.setRefusal(0);
            try {
                write();
                break;
            } catch (const base::UserError& e) {
                ASSERT_EQ(e.kind(), base::ErrorKind::StorageFull) << e.what();
            }
            if (m_random.uniformBelow(10) == 0) {
                restart(&next);
                return;
            }
        }
        m_acknowledged = next;
        if (m_random.uniformBelow(10) == 0)
            restart(nullptr);
    }

private:
    wire::Entry entry(int64_t index, int64_t term)
    {
        wire::Entry out;
        out.index = index;
        out.term = term;
        out.data = std::string(m_random.uniformBelow(20) ? 50 : 1500000, 'x');
        return out;
    }

    // Returns a random write as a control host makes it, and changes `next` to the state after it.
    std::function<void()> nextWrite(Model& next)
    {
        int64_t last = next.terms.empty() ? next.snapshotIndex : next.terms.rbegin()->first;
        switch (m_random.uniformBelow(8)) {
        case 0: { // a snapshot of the own state machine
            wire::SnapshotRecord snapshot;
            snapshot.index = next.snapshotIndex
                + static_cast<int64_t>(m_random.uniformBelow(static_cast<uint64_t>(last - next.snapshotIndex) + 1));
            snapshot.term = next.terms.count(snapshot.index) ? next.terms.at(snapshot.index) : 1;
            if (snapshot.index == next.snapshotIndex)
                return [] {};
            next.snapshotIndex = snapshot.index;
            std::erase_if(next.terms, [&](const auto& it) { return it.first <= snapshot.index; });
            return [this, snapshot] { m_store->writeSnapshot(snapshot); };
        }
        case 1: { // a snapshot from the leader replaces the log
            wire::SnapshotRecord snapshot;
            snapshot.index = last + 1 + static_cast<int64_t>(m_random.uniformBelow(5));
            snapshot.term = next.hardState.term;
            next.snapshotIndex = snapshot.index;
            next.terms.clear();
            return [this, snapshot, hardState = next.hardState] { m_store->installSnapshot(snapshot, hardState); };
        }
        case 2: { // a vote
            next.hardState.term += 1;
            next.hardState.votedFor = "host-" + std::to_string(m_random.uniformBelow(3));
            return [this, hardState = next.hardState] { m_store->write(hardState, {}); };
        }
        default: { // entries, which may replace some
            int64_t first = last + 1;
            std::optional<wire::HardState> hardState;
            if (m_random.uniformBelow(5) == 0) { // only a leader of a later term replaces entries
                first = next.snapshotIndex + 1
                    + static_cast<int64_t>(m_random.uniformBelow(static_cast<uint64_t>(last - next.snapshotIndex) + 1));
                next.hardState.term += 1;
                hardState = next.hardState;
            }
            std::vector<wire::Entry> entries;
            next.terms.erase(next.terms.lower_bound(first), next.terms.end());
            for (auto n = m_random.uniformBelow(3) + 1; n; --n, ++first) {
                entries.push_back(entry(first, next.hardState.term));
                next.terms[first] = next.hardState.term;
            }
            return [this, hardState, entries] { m_store->write(hardState, entries); };
        }
        }
    }

    void start()
    {
        for (int attempt = 0;; ++attempt) {
            if (attempt > 20)
                m_disk.setRefusal(0);
            try {
                m_store = std::make_unique<LogStore>(m_disk);
                wire::Membership membership;
                membership.voters = { "host-0" };
                m_loaded = m_store->load(EmptyFolderMode::Bootstrap, membership);
                return;
            } catch (const base::UserError& e) {
                ASSERT_EQ(e.kind(), base::ErrorKind::StorageFull) << e.what();
            }
        }
    }

    // Ends the process and starts it again. `inProgress` is the state after the write that was not acknowledged.
    void restart(const Model* inProgress)
    {
        start();
        Model found;
        found.snapshotIndex = m_loaded.snapshot->index;
        found.hardState = m_loaded.hardState;
        for (const auto& it : m_loaded.entries)
            found.terms[it.index] = it.term;
        bool isAcknowledged = matches(found, m_acknowledged);
        ASSERT_TRUE(isAcknowledged || (inProgress && matches(found, *inProgress)))
            << "acknowledged " << describe(m_acknowledged) << ", found " << describe(found);
        m_acknowledged = isAcknowledged ? m_acknowledged : *inProgress;
    }

    static bool matches(const Model& found, const Model& expected)
    {
        return found.terms == expected.terms && found.snapshotIndex == expected.snapshotIndex
            && found.hardState == expected.hardState;
    }

    static std::string describe(const Model& it)
    {
        std::string out = "snapshot " + std::to_string(it.snapshotIndex) + " term " + std::to_string(it.hardState.term)
            + " vote " + it.hardState.votedFor + " entries";
        for (const auto& [index, term] : it.terms)
            out += " " + std::to_string(index) + "@" + std::to_string(term);
        return out;
    }

    base::Random m_random;
    tests::FullDisk m_disk;
    std::unique_ptr<LogStore> m_store;
    members::DurableState m_loaded;
    Model m_acknowledged;
};

}

TEST(FullDisksLoseNothing, RetriedAndRestartedAtAnyOperation)
{
    for (uint64_t seed = 1; seed <= SEEDS; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        StoreRun run(seed);
        for (int i = 0; i < STEPS && !HasFatalFailure(); ++i)
            run.step();
        if (HasFatalFailure())
            return;
    }
}
