// What the control core asks the threads around it to do.
#pragma once

#include "pomelowind/links/Link.h"
#include "pomelowind/members/Replica.h"

#include <optional>
#include <string>

namespace pomelowind::control {

// Work for the disk duty. `ready.afterDurable` may leave only when the rest is durable.
struct DiskWork {
    members::Ready ready;
    wire::HardState hardState; // the present one, which an installed snapshot must not lose
    std::optional<wire::SnapshotRecord> snapshot; // of the own state machine
};

// Done work, back at the core.
struct DiskDone {
    std::vector<members::Outgoing> send;
    int64_t lastIndex { 0 };
    int64_t lastTerm { 0 };
    std::optional<wire::SnapshotRecord> snapshot;
};

// Implemented by the threads; called on the decision duty.
class ControlOutputs {
public:
    virtual ~ControlOutputs() = default;
    virtual void sendToMember(const std::string& member, links::Kind kind, std::string payload) = 0;
    virtual void sendToNode(const std::string& node, links::Kind kind, std::string payload) = 0;
    // Connects to a control host that was learned from a peer; nothing when it is connected already.
    virtual void connectMember(const std::string& member) = 0;
    // Returns false when the disk's ring is full.
    virtual bool persist(DiskWork work) = 0;
};

} // namespace pomelowind::control
