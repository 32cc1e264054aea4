// What evacuations of data centres mean for a node: the targets that its calls may not use, and whether the gates of
// its own host admit calls. Pure decision logic without I/O.
#pragma once

#include "pomelowind/node/MeshView.h"

#include <set>
#include <string>

namespace pomelowind::node {

// Effect of a new view on the gates of this host.
struct GateChange {
    bool closed { false }; // the gates admit no calls from now on
    bool opened { false }; // the gates admit calls from now on
    // An evacuation of this host's data centre has ended. Also set when the node learns only now that one was started
    // and finished, for example after a partition.
    bool evacuationEnded { false };
};

// Thread safety: confined to the calls event loop.
class Evacuations {
public:
    // `dataCentre` is that of this host.
    explicit Evacuations(std::string dataCentre);

    // Takes the configuration and the targets that calls use from now on.
    GateChange update(const MeshView& view);
    // Targets that must not be chosen for any attempt.
    const std::set<std::string>& excludedTargets() const { return m_excludedTargets; }
    // Returns whether a serving target of `service` is excluded.
    bool excludesTargetOf(const std::string& service, const nodes::TargetList& targets) const;
    const std::set<std::string>& dataCentres() const { return m_dataCentres; }
    // Returns whether the data centre of this host is evacuated.
    bool isHostEvacuated() const { return m_dataCentres.count(m_dataCentre) > 0; }
    // Returns whether the gates of this host admit calls. A node that does not serve yet may not know of an evacuation
    // that is in force, so its gates are closed.
    bool areGatesOpen() const { return m_gatesOpen; }

private:
    std::string m_dataCentre;
    std::set<std::string> m_dataCentres; // evacuated ones
    std::set<std::string> m_excludedTargets;
    bool m_serving { false };
    bool m_gatesOpen { false };
    int64_t m_orderVersion { 0 }; // version of the last start or finish for the data centre of this host
};

} // namespace pomelowind::node
