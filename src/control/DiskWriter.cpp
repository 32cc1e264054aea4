#include "DiskWriter.h"

#include "pomelowind/base/Log.h"

#include <cstdlib>
#include <thread>

namespace pomelowind::control {

namespace {

    // Disk space becomes free when an operator or the host frees it; ten retries a second are cheap.
    constexpr auto FULL_DISK_RETRY_PERIOD = std::chrono::milliseconds(100);

}

DiskResult writeToStore(members::LogStore& store, const DiskWork& work)
{
    DiskResult result;
    const auto& ready = work.ready;
    if (ready.snapshotToInstall)
        store.installSnapshot(*ready.snapshotToInstall, work.hardState);
    if (ready.hardState || !ready.entriesToAppend.empty())
        store.write(ready.hardState, ready.entriesToAppend);
    if (ready.reinstated)
        store.markReinstated();
    if (!ready.entriesToAppend.empty()) {
        result.lastIndex = ready.entriesToAppend.back().index;
        result.lastTerm = ready.entriesToAppend.back().term;
    }
    if (work.snapshot) {
        store.writeSnapshot(*work.snapshot);
        result.snapshot = work.snapshot;
    }
    return result;
}

DiskWriter::DiskWriter(members::LogStore& store, Done done)
    : m_store(store)
    , m_done(std::move(done))
    , m_thread("disk")
    , m_queue(m_thread.context(), DISK_QUEUE_CAPACITY, [this](DiskWork&& work) { handleWork(std::move(work)); })
{
}

void DiskWriter::start() { m_thread.start(); }

void DiskWriter::stop()
{
    m_stopping = true;
    m_thread.stop();
}

void DiskWriter::handleWork(DiskWork work)
{
    DiskResult result;
    try {
        result = writeWithRetry(work);
    } catch (const base::Error& e) {
        base::logError("disk.failed", { { "error", e.what() }, { "remedy", e.remedy() } });
        base::stopLogging();
        std::_Exit(EXIT_FAILURE);
    }
    result.send = std::move(work.ready.messagesAfterPersist);
    m_done(std::move(result));
}

// Until the disk has room this host acknowledges nothing, and the other hosts continue.
DiskResult DiskWriter::writeWithRetry(const DiskWork& work)
{
    for (bool isFirst = true;; isFirst = false) {
        try {
            auto result = writeToStore(m_store, work);
            if (!isFirst)
                base::logInfo("disk.has_room");
            return result;
        } catch (const base::UserError& e) {
            if (e.kind() != base::ErrorKind::StorageFull || m_stopping)
                throw;
            if (isFirst)
                base::logError("disk.full", { { "error", e.what() }, { "remedy", e.remedy() } });
            std::this_thread::sleep_for(FULL_DISK_RETRY_PERIOD);
        }
    }
}

} // namespace pomelowind::control
