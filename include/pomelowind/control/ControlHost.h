// A control host: the control core with its threads for network, disk, decisions, operators and timers.
#pragma once

#include "pomelowind/control/ControlSettings.h"
#include "pomelowind/members/LogStore.h"
#include "pomelowind/operators/OperatorApi.h"

#include <memory>

namespace pomelowind::control {

// Thread safety: start and stop from one thread.
class ControlHost {
public:
    // Loads the durable state and binds all addresses. Throws UserError(Settings, StorageDamaged).
    // `operators` replaces the product's own operators' API when it is set.
    ControlHost(ControlSettings settings, members::EmptyStart emptyStart,
        const operators::OperatorHandlerFactory& operators = {});
    ~ControlHost();
    // Takes changed settings: new seeds are connected to; everything else needs a restart. Thread safety: any thread.
    void reload(const ControlSettings& settings);
    // Answers running operator requests, then stops all threads.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pomelowind::control
