// Limits of the HTTP server for callers, from the settings and the configuration in force.
#pragma once

#include "pomelowind/config/ConfigState.h"
#include "pomelowind/http/HttpServer.h"
#include "pomelowind/node/NodeSettings.h"

namespace pomelowind::node {

// `release` may be null. Thread safety: pure.
http::HttpLimits callerLimits(const NodeSettings& settings, const wire::ReleaseResource* release);

// Limits of the servers for the targets and the supervisor of the host. Thread safety: any thread.
http::HttpLimits hostListenerLimits();

// Memory for the bodies and responses of each of those servers; their requests and responses take some kilobytes.
inline constexpr size_t HOST_LISTENER_BYTES = 8 * 1024 * 1024;

} // namespace pomelowind::node
