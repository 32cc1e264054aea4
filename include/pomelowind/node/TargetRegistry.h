// Interface through which the announcement protocols register the targets of this host.
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

// Announcement that a target sends to the node of its host, repeatedly while it runs.
struct Announcement {
    std::string target;
    std::string serviceName;
    std::string version;
    base::Address address;
    int slots { 0 }; // calls that the target can run concurrently
    int64_t incarnation { 0 }; // start of the target's process in wall milliseconds; orders its restarts
    wire::TargetState::type state { wire::TargetState::SERVING };
    int64_t sequence { 0 }; // orders the announcements of one incarnation; 0 when the target does not number them
    std::optional<base::Millis> coldLeft; // remaining ramp-up time after the target's start
    // ---- set by this node when it takes the announcement ----
    base::Instant receivedAt;
    base::Instant assumedColdAt; // when this node last began to assume that the target is cold; unset: never
    base::Millis serviceColdStart { 0 }; // see wire::ServiceResource
    // Calls per second that cold targets of the service accept; 0: no limit; empty: this node has no configuration yet.
    std::optional<double> coldCallsPerSecond;
    bool operator==(const Announcement&) const = default;
};

// Receives the announcements. Thread safety: confined to the distribution event loop.
class TargetRegistry {
public:
    virtual ~TargetRegistry() = default;
    // Registers a target or renews its lease. Throws UserError(InvalidInput) when the target is not one of this host.
    virtual void announce(const Announcement& announcement) = 0;
    // Drains the target with this id, which has announced its departure, and ignores what that incarnation announced
    // before. Without `incarnation`, the departure covers each incarnation that has started by now. Throws
    // UserError(InvalidInput) when the departure cannot be recorded.
    virtual void depart(const std::string& target, std::optional<int64_t> incarnation) = 0;
    // Calls `done` once, at once or later, on the distribution event loop: with true when the departure that this
    // target has announced last outlives a restart of all processes, or when there is none to be remembered; with false
    // when the control hosts have not recorded it in time. The target gets no new calls from this node in either case.
    virtual void whenRecorded(const std::string& target, std::function<void(bool)> done) = 0;
};

// Creates the HTTP handler of the address to which targets announce themselves.
using AnnounceHandlerFactory = std::function<std::unique_ptr<http::HttpHandler>(TargetRegistry&)>;

} // namespace pomelowind::node
