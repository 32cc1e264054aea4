#include "Evacuations.h"

#include <algorithm>
#include <utility>

namespace pomelowind::node {

Evacuations::Evacuations(std::string dataCentre)
    : m_dataCentre(std::move(dataCentre))
{
}

GateChange Evacuations::update(const MeshView& view)
{
    m_dataCentres = view.config->evacuatedDataCentres();
    m_excludedTargets.clear();
    if (!m_dataCentres.empty() && view.targets) {
        for (const auto& it : *view.targets) {
            if (m_dataCentres.count(it.dataCentre))
                m_excludedTargets.insert(it.target);
        }
    }
    GateChange out;
    bool wasServing = std::exchange(m_serving, view.serving);
    auto orderVersion = view.config->versionOf(config::evacuationKey(m_dataCentre));
    bool isNewOrder = std::exchange(m_orderVersion, orderVersion) < orderVersion;
    bool wasOpen = std::exchange(m_gatesOpen, view.serving && !isHostEvacuated());
    out.opened = !wasOpen && m_gatesOpen;
    out.closed = wasOpen && !m_gatesOpen;
    out.evacuationEnded = wasServing && m_gatesOpen && (!wasOpen || isNewOrder);
    return out;
}

bool Evacuations::excludesTargetOf(const std::string& service, const nodes::TargetList& targets) const
{
    return std::any_of(targets.begin(), targets.end(), [&](const wire::Presence& it) {
        return it.serviceName == service && it.state == wire::TargetState::SERVING
            && m_excludedTargets.count(it.target);
    });
}

} // namespace pomelowind::node
