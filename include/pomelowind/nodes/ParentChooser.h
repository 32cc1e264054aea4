// Chooses the parent from which a node receives configuration: its ancestors in the fan-out tree, best first, then the
// control hosts. A parent that failed or refused is skipped for a backoff time with jitter, so that many nodes that
// lose a parent at once spread over the remaining ones.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Settings.h"
#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::nodes {

// A process that publishes configuration: another node or a control host.
struct Parent {
    std::string id;
    base::Address address;
    bool isControl { false };
    bool operator==(const Parent&) const = default;
};

// Tracks failures and backoff of the candidate parents. Does no I/O. Thread safety: confined to one event loop thread.
class ParentChooser {
public:
    // `controlHosts` is in order of preference; `seed` seeds the jitter.
    ParentChooser(std::string self, std::string dataCentre, std::vector<Parent> controlHosts, uint64_t seed);

    // Replaces the control hosts, given in order of preference.
    void setControlHosts(std::vector<Parent> controlHosts) { m_controlHosts = std::move(controlHosts); }
    // Returns the best parent that is not in backoff, or nothing when all are.
    std::optional<Parent> choose(const std::vector<wire::NodeInfo>& members, base::Instant now);
    // Like choose, for a node without a parent: when all parents are in backoff, returns the one that has been
    // unresponsive for the longest time. After a power loss all parents are unresponsive at first.
    std::optional<Parent> chooseOrFallBack(const std::vector<wire::NodeInfo>& members, base::Instant now);
    // Records a failed connection attempt or a lost connection. The backoff doubles with each failure in a row, up to a
    // limit.
    void failed(const std::string& parent, base::Instant now);
    // Records that the parent sent nothing in time while connecting or connected. It has probably hung or is
    // unreachable, so its backoff is long.
    void onParentTimedOut(const std::string& parent, base::Instant now);
    // Records that the parent refused the subscription until `retryAfter` has passed.
    void refused(const std::string& parent, base::Millis retryAfter, base::Instant now);
    // Records that the parent admitted this node, and resets its backoff.
    void succeeded(const std::string& parent);

private:
    std::vector<Parent> parentsByPreference(const std::vector<wire::NodeInfo>& members) const;
    void backOff(const std::string& parent, base::Millis minBackoff, base::Instant now);

    std::string m_self;
    std::string m_dataCentre;
    std::vector<Parent> m_controlHosts;
    base::Random m_random;
    std::map<std::string, base::Instant> m_backoffUntil;
    std::map<std::string, base::Instant> m_unresponsiveSince;
    std::map<std::string, int> m_failures;
};

} // namespace pomelowind::nodes
