// Publishes configuration to subscribers, which are the children in the fan-out tree: admits them at a bounded rate and
// produces for each the delta from the version it has to the current one. Used by control hosts and by nodes that relay
// configuration. Does no I/O; its owner sends the deltas.
#pragma once

#include "pomelowind/base/TokenBucket.h"
#include "pomelowind/config/ConfigState.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::nodes {

// Limits of a publisher.
struct ConfigPublisherOptions {
    // Maximum number of connected subscribers. 580 nodes spread over 7 control hosts, one of which is down, are about
    // 97 for each.
    size_t maxChildren { 128 };
    // After a restart of all processes, all nodes of a publisher subscribe almost at once. The full state of 1,400
    // routes takes about 40 kB, so a burst of this size is sent over a link of 170 Mbit/s in about 0.1 s.
    double admissionsPerSecond { 200 };
    double admissionBurst { 64 };
    base::Millis childLease { 3000 };
};

// The answer to a subscription request; `retryAfter` is set when it was refused.
struct Admission {
    bool admitted { false };
    base::Millis retryAfter { 0 };
};

// A delta message for one subscriber. Subscribers with the same base version share one encoded and compressed delta.
struct DeltaMessage {
    std::string child;
    std::shared_ptr<const std::string> delta;
};

// Tracks the subscribers and the version sent to each. Thread safety: confined to one event loop thread.
class ConfigPublisher {
public:
    ConfigPublisher(ConfigPublisherOptions options, base::Instant now);

    // Admits a subscriber that has version `baseVersion`, or refuses it with the time after which it may retry.
    Admission subscribe(const wire::NodeInfo& node, int64_t baseVersion, base::Instant now);
    // Handles the loss of the connection to a subscriber. The subscriber keeps its lease, during which it may reconnect
    // here or subscribe elsewhere.
    void disconnected(const std::string& child, base::Instant now);
    // Sends the full state to a subscriber next, because it could not apply a delta.
    void resync(const std::string& child);
    // Sets the state to publish. A state whose version is not higher than the current one is ignored.
    void publish(std::shared_ptr<const config::ConfigState> state);
    // Returns the delta messages to send now, at most one for each connected subscriber, and counts them as sent.
    std::vector<DeltaMessage> takePendingDeltas();
    // Removes and returns the subscribers whose lease has expired since they disconnected.
    std::vector<wire::NodeInfo> takeExpiredSubscribers(base::Instant now);

    // Returns the names of the connected subscribers.
    std::vector<std::string> connected() const;
    const std::shared_ptr<const config::ConfigState>& state() const { return m_state; }

private:
    struct Child {
        wire::NodeInfo node;
        int64_t sentVersion { 0 };
        bool isConnected { true };
        base::Instant disconnectedAt;
    };

    ConfigPublisherOptions m_options;
    base::TokenBucket m_admissions;
    std::shared_ptr<const config::ConfigState> m_state;
    std::map<int64_t, std::shared_ptr<const std::string>> m_packedDeltas; // deltas to m_state, by base version
    std::map<std::string, Child> m_children;
};

} // namespace pomelowind::nodes
