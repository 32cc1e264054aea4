// Tracks which configuration version each node has applied, from the acknowledgements that nodes pass up the
// configuration fan-out tree. Acknowledgements are repeated periodically and serve as heartbeats: a node without a
// recent one is considered unreachable.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"

#include <map>
#include <string>
#include <vector>

namespace pomelowind::nodes {

// Holds the latest acknowledgement of each node. Thread safety: confined to one event loop thread.
class AckTable {
public:
    // Merges acknowledgements and returns those that changed a stored one: a new node, a higher version, or another
    // rejection of the same version. Lower versions are ignored, but any acknowledgement counts as a heartbeat.
    std::vector<wire::NodeAck> merge(const std::vector<wire::NodeAck>& acks, base::Instant now);
    // Returns the highest version that `node` has acknowledged, or 0 when the node is unknown.
    int64_t acknowledgedVersionOf(const std::string& node) const;
    // Returns why `node` rejected a configuration, or an empty string when it did not or is unknown.
    std::string rejectionOf(const std::string& node) const;
    // Returns the latest acknowledgements of the nodes that sent one within `window`.
    std::vector<wire::NodeAck> recentAcks(base::Instant now, base::Millis window) const;
    // Returns true when `node` sent an acknowledgement within `window`.
    bool isReachable(const std::string& node, base::Instant now, base::Millis window) const;
    void forget(const std::string& node) { m_acks.erase(node); }

private:
    struct Entry {
        wire::NodeAck ack;
        base::Instant receivedAt;
    };

    std::map<std::string, Entry> m_acks;
};

} // namespace pomelowind::nodes
