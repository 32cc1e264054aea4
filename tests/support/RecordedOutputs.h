// Test double that records the outputs of a DistributionCore.
#pragma once

#include "node/DistributionCore.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelowind::tests {

class RecordedOutputs final : public node::DistributionOutputs {
public:
    void connectParent(std::optional<nodes::Parent> parent) override
    {
        connected = parent;
        parents.push_back(parent);
    }
    void sendParent(links::Kind, std::string) override { }
    void sendChild(const std::string&, links::Kind, std::string) override { }
    void exchangeDigest(const base::Address&, std::string) override { }
    void publish(node::MeshViewPtr next) override { view = std::move(next); }
    void publishLocalTargets(std::vector<node::Announcement> targets) override { local = std::move(targets); }

    std::optional<nodes::Parent> connected; // argument of the last connectParent()
    std::vector<std::optional<nodes::Parent>> parents; // arguments of all connectParent() calls, in order
    std::vector<node::Announcement> local; // last published targets of this host
    node::MeshViewPtr view; // last published snapshot
};

} // namespace pomelowind::tests
