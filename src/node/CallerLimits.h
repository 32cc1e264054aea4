// Limits of the HTTP server for callers, from the settings and the configuration in force.
#pragma once

#include "pomelowind/config/ConfigState.h"
#include "pomelowind/http/HttpServer.h"
#include "pomelowind/node/NodeSettings.h"

namespace pomelowind::node {

// `release` may be null. Thread safety: pure.
http::HttpLimits callerLimits(const NodeSettings& settings, const wire::ReleaseResource* release);

} // namespace pomelowind::node
