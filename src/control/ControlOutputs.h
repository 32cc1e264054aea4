// The outputs of the control core: frames to send and data to make durable. ControlHost passes them to the network
// and disk threads, and returns the result of each disk write to the core.
#pragma once

#include "pomelowind/links/Link.h"
#include "pomelowind/members/Replica.h"

#include <optional>
#include <string>

namespace pomelowind::control {

// A write for the disk thread. The messages in `ready.messagesAfterPersist` may be sent only when everything else is
// durable.
struct DiskWork {
    members::Ready ready;
    wire::HardState hardState; // current term and vote, to be kept when a snapshot is installed
    std::optional<wire::SnapshotRecord> snapshot; // of this host's own state machine
};

// The result of a completed DiskWork.
struct DiskResult {
    std::vector<members::OutgoingMessage> send; // messages that had to wait until the write was durable
    int64_t lastIndex { 0 }; // last appended entry, or 0 when none was appended
    int64_t lastTerm { 0 };
    std::optional<wire::SnapshotRecord> snapshot; // the snapshot that was written
};

// Implemented by ControlHost. Thread safety: called on the decision thread only.
class ControlOutputs {
public:
    virtual ~ControlOutputs() = default;
    // Send a frame to another control host or to a subscribed node. Frames to an unconnected peer are dropped.
    virtual void sendToMember(const std::string& member, links::Kind kind, std::string payload) = 0;
    virtual void sendToNode(const std::string& node, links::Kind kind, std::string payload) = 0;
    // Connects to a control host that a peer reported; has no effect when a connection to it exists or is being made.
    virtual void connectMember(const std::string& member) = 0;
    // Queues a write for the disk thread. Returns false when the bounded queue is full.
    virtual bool persist(DiskWork work) = 0;
};

} // namespace pomelowind::control
