// The disk thread of a control host. Flow: ControlCore -> DiskWork -> DiskWriter -> DiskResult -> ControlCore.
#pragma once

#include "ControlOutputs.h"
#include "pomelowind/base/EventLoopThread.h"
#include "pomelowind/base/Mailbox.h"
#include "pomelowind/members/LogStore.h"

#include <atomic>
#include <functional>

namespace pomelowind::control {

inline constexpr size_t DISK_QUEUE_CAPACITY = 4096;

// Makes all of `work` durable and returns the result without its messages. Throws UserError(StorageFull); the same work
// may then be written again. Thread safety: the thread of `store`.
DiskResult writeToStore(members::LogStore& store, const DiskWork& work);

// Makes queued writes durable in order and reports each to the decision thread, together with the messages that may be
// sent from then on. Retries while the disk is full; ends the process on any other failure, because only durable
// entries may be acknowledged and the files may end in a torn record, which the next start removes.
class DiskWriter {
public:
    using Done = std::function<void(DiskResult)>;

    // `done` is called on the disk thread. Precondition: `store` outlives the writer.
    DiskWriter(members::LogStore& store, Done done);
    void start();
    // Ends the thread. A write that waits for room on the disk is given up.
    void stop();
    // Queues a write. Returns false when the queue is full. Thread safety: any thread.
    bool enqueue(DiskWork work) { return m_queue.tryPut(std::move(work)); }

private:
    void handleWork(DiskWork work);
    DiskResult writeWithRetry(const DiskWork& work);

    members::LogStore& m_store;
    Done m_done;
    std::atomic<bool> m_stopping { false };
    base::EventLoopThread m_thread;
    base::Mailbox<DiskWork> m_queue;
};

} // namespace pomelowind::control
