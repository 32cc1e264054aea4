// Test double that records the outputs of a DistributionCore.
#pragma once

#include "node/DistributionCore.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelowind::tests {

struct SentFrame {
    links::Kind kind;
    std::string payload;
};

class RecordedOutputs final : public node::DistributionOutputs {
public:
    void connectParent(std::optional<nodes::Parent> parent) override
    {
        connected = parent;
        parents.push_back(parent);
    }
    void sendParent(links::Kind kind, std::string payload) override
    {
        sentToParent.push_back({ kind, std::move(payload) });
    }
    void sendChild(const std::string&, links::Kind kind, std::string payload) override
    {
        sentToChildren.push_back({ kind, std::move(payload) });
    }
    void exchangeDigest(const base::Address&, std::string) override { }
    void publish(node::MeshViewPtr next) override { view = std::move(next); }
    void publishLocalTargets(std::vector<node::Announcement> targets) override { local = std::move(targets); }

    std::vector<SentFrame> sentToParent; // in order
    std::vector<SentFrame> sentToChildren; // to all of them, in order
    std::optional<nodes::Parent> connected; // argument of the last connectParent()
    std::vector<std::optional<nodes::Parent>> parents; // arguments of all connectParent() calls, in order
    std::vector<node::Announcement> local; // last published targets of this host
    node::MeshViewPtr view; // last published snapshot
};

} // namespace pomelowind::tests
