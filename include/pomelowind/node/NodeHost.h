// A node: the distribution core and the call path with their threads.
#pragma once

#include "pomelowind/node/CallProtocol.h"
#include "pomelowind/node/NodeSettings.h"
#include "pomelowind/node/TargetRegistry.h"

#include <memory>

namespace pomelowind::node {

// How the node's peers speak; empty members mean the product's own protocols.
struct NodeProtocols {
    std::unique_ptr<CallProtocol> calls;
    AnnounceHandlerFactory announce;
};

// Thread safety: start and stop from one thread.
class NodeHost {
public:
    // Binds all addresses and starts. Throws UserError(Settings).
    explicit NodeHost(NodeSettings settings, NodeProtocols protocols = {});
    ~NodeHost();
    // Takes changed settings: new seeds; everything else needs a restart. Thread safety: any thread.
    void reload(const NodeSettings& settings);
    // Planned stop: its targets leave, calls in flight end, peers are told, then the threads stop.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pomelowind::node
