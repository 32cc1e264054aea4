// A control host: the control core with its threads for network, disk, decisions, operators and timers.
#pragma once

#include "pomelowind/control/ControlSettings.h"
#include "pomelowind/members/LogStore.h"

#include <memory>

namespace pomelowind::control {

// Thread safety: start and stop from one thread.
class ControlHost {
public:
    // Loads the durable state and binds all addresses. Throws UserError(Settings, StorageDamaged).
    ControlHost(ControlSettings settings, members::EmptyStart emptyStart);
    ~ControlHost();
    // Answers running operator requests, then stops all threads.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pomelowind::control
