// The process-level assembly of a control host (pomelowind-control): it connects the control core, which replicates the
// configuration and publishes it to nodes, with the threads for the network, the disk, the operators' API and timers.
#pragma once

#include "pomelowind/control/ControlSettings.h"
#include "pomelowind/members/LogStore.h"
#include "pomelowind/operators/OperatorApi.h"

#include <memory>

namespace pomelowind::control {

// Runs one control host from its construction to stop().
// Thread safety: construct, stop and destroy from one thread; reload() from any thread.
class ControlHost {
public:
    // Loads the durable state, binds all addresses and starts the threads. `emptyFolderMode` says how an empty data
    // folder is treated. `handlerFactory`, when set, makes the handler that replaces the product's own operators' API.
    // Throws UserError(Settings, StorageDamaged).
    ControlHost(ControlSettings settings, members::EmptyFolderMode emptyFolderMode,
        const operators::OperatorHandlerFactory& handlerFactory = {});
    ~ControlHost();
    // Applies changed settings: connects to seeds that are new. Every other change needs a restart.
    // Thread safety: any thread.
    void reload(const ControlSettings& settings);
    // Shuts down gracefully: answers running operator requests, within a time limit, then stops all threads.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pomelowind::control
