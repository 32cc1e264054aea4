// A node: the distribution core and the call path with their threads.
#pragma once

#include "pomelowind/node/NodeSettings.h"

#include <memory>

namespace pomelowind::node {

// Thread safety: start and stop from one thread.
class NodeHost {
public:
    // Binds all addresses and starts. Throws UserError(Settings).
    explicit NodeHost(NodeSettings settings);
    ~NodeHost();
    // Planned stop: its targets leave, calls in flight end, peers are told, then the threads stop.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pomelowind::node
