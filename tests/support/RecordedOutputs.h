// What a DistributionCore wants done, kept for a test to look at.
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

    std::optional<nodes::Parent> connected;
    std::vector<std::optional<nodes::Parent>> parents; // each that was connected, in order
    std::vector<node::Announcement> local;
    node::MeshViewPtr view;
};

} // namespace pomelowind::tests
