// Where announcements of this host's targets go, whatever protocol they came in.
#pragma once

#include "pomelowind/base/Settings.h"
#include "pomelowind/base/Time.h"
#include "pomelowind/base/Wire.h"
#include "pomelowind/http/HttpServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pomelowind::node {

// A target's own announcement to its node.
struct Announcement {
    std::string target;
    std::string serviceName;
    std::string version;
    base::Address address;
    int slots { 0 };
    int64_t incarnation { 0 }; // start of the target in wall milliseconds; orders its lives
    wire::TargetState::type state { wire::TargetState::SERVING };
    int64_t sequence { 0 }; // orders the announcements of one incarnation; 0 when the target does not count them
    std::optional<base::Millis> coldLeft; // how much longer the target is slow after its start
    bool operator==(const Announcement&) const = default;
};

// Thread safety: confined to the distribution duty.
class TargetRegistry {
public:
    virtual ~TargetRegistry() = default;
    // Takes an announcement. Throws UserError(InvalidInput) when it names no target of this host.
    virtual void announced(const Announcement& announcement) = 0;
    // The target with this id says that it has left.
    virtual void departed(const std::string& target) = 0;
};

// Makes the handler of the address to which targets announce themselves.
using AnnounceHandlerFactory = std::function<std::unique_ptr<http::HttpHandler>(TargetRegistry&)>;

} // namespace pomelowind::node
