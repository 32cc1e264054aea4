// Chooses who feeds this node: its parents in the relay tree, best first, then the control hosts.
// A parent that failed or refused is left alone for a while, so that a herd of nodes spreads out.
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

// A process that can feed this node.
struct Parent {
    std::string id;
    base::Address address;
    bool isControl { false };
    bool operator==(const Parent&) const = default;
};

// A decision class. Thread safety: confined to one duty.
class ParentChooser {
public:
    // `controlHosts` in the order of preference.
    ParentChooser(std::string self, std::string dataCentre, std::vector<Parent> controlHosts, uint64_t seed);

    // Replaces the control hosts, in the order of preference.
    void setControlHosts(std::vector<Parent> controlHosts) { m_controlHosts = std::move(controlHosts); }
    // The best parent that may be tried now, or nothing when all have to be left alone.
    std::optional<Parent> choose(const std::vector<wire::NodeInfo>& members, base::Instant now);
    // For a node without a parent: rather the one that has been silent longest than none, because after a power loss
    // all are silent at first.
    std::optional<Parent> chooseAny(const std::vector<wire::NodeInfo>& members, base::Instant now);
    // The attempt failed or the link was lost.
    void failed(const std::string& parent, base::Instant now);
    // The parent was connected or connecting and said nothing: it is frozen or cut off, and stays so for a while.
    void fellSilent(const std::string& parent, base::Instant now);
    // The parent refused admission for now.
    void refused(const std::string& parent, base::Millis retryAfter, base::Instant now);
    // The parent feeds this node.
    void succeeded(const std::string& parent);

private:
    std::vector<Parent> candidates(const std::vector<wire::NodeInfo>& members) const;
    void avoid(const std::string& parent, base::Millis least, base::Instant now);

    std::string m_self;
    std::string m_dataCentre;
    std::vector<Parent> m_controlHosts;
    base::Random m_random;
    std::map<std::string, base::Instant> m_avoidUntil;
    std::map<std::string, base::Instant> m_silentSince;
    std::map<std::string, int> m_failures;
};

} // namespace pomelowind::nodes
