// Which version each node runs, as acknowledged along the relay tree. Acknowledgements repeat and so serve as
// heartbeats: a node that has not been heard for a while is unreachable.
#pragma once

#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"

#include <map>
#include <string>
#include <vector>

namespace pomelowind::nodes {

// Thread safety: confined to one duty.
class Acks {
public:
    // Takes acknowledgements; returns those that are news. Versions of a node only increase.
    std::vector<wire::NodeAck> merge(const std::vector<wire::NodeAck>& acks, base::Instant now);
    // Highest version that `node` was ever seen to run; 0 when unknown.
    int64_t versionOf(const std::string& node) const;
    std::string rejectionOf(const std::string& node) const;
    // Acknowledgements of the nodes heard within `window`.
    std::vector<wire::NodeAck> fresh(base::Instant now, base::Millis window) const;
    bool isReachable(const std::string& node, base::Instant now, base::Millis window) const;
    void forget(const std::string& node) { m_acks.erase(node); }

private:
    struct Heard {
        wire::NodeAck ack;
        base::Instant at;
    };

    std::map<std::string, Heard> m_acks;
};

} // namespace pomelowind::nodes
