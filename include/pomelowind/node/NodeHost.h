// A node: the distribution core and the call path, each on its own event loop thread.
#pragma once

#include "pomelowind/node/CallProtocol.h"
#include "pomelowind/node/NodeSettings.h"
#include "pomelowind/node/TargetRegistry.h"

#include <memory>

namespace pomelowind::node {

// Protocols that callers, targets and operators use; empty members select the product's own.
struct NodeProtocols {
    std::unique_ptr<CallProtocol> calls;
    AnnounceHandlerFactory announce;
};

// Owns the threads and servers of a node. Thread safety: start and stop from one thread.
class NodeHost {
public:
    // Binds all addresses and starts. Throws UserError(Settings).
    explicit NodeHost(NodeSettings settings, NodeProtocols protocols = {});
    ~NodeHost();
    // Applies changed settings. Only new control seeds take effect; everything else needs a restart.
    // Thread safety: any thread.
    void reload(const NodeSettings& settings);
    // Shuts down gracefully: drains this host's targets, waits for calls in flight up to NodeSettings::stopTimeout,
    // answers those that are left, announces the stop to the mesh, then stops the threads. Blocks until done; later
    // calls have no effect.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pomelowind::node
