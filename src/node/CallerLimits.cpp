#include "CallerLimits.h"

#include <algorithm>

namespace pomelowind::node {

namespace {

    // Parts of the process's descriptors. The rest is for links to peers and control hosts, connections to targets, the
    // metrics and the process's own files.
    constexpr double CALLERS_SHARE = 0.5;
    constexpr double HOST_SHARE = 0.125;

}

http::HttpLimits hostListenerLimits()
{
    http::HttpLimits out;
    out.maxConnections = http::connectionsForShare(HOST_SHARE);
    return out;
}

http::HttpLimits callerLimits(const NodeSettings& settings, const wire::ReleaseResource* release)
{
    http::HttpLimits out;
    out.maxBodyBytes = static_cast<size_t>(settings.maxBodyBytes);
    out.requestTimeout = settings.callerTimeout;
    out.pipelineDepth = static_cast<size_t>(settings.pipelineDepth);
    out.pipelineBytes = static_cast<size_t>(settings.pipelineBytes);
    out.maxConnections = http::connectionsForShare(CALLERS_SHARE);
    out.slowCallerBytesPerSecond = static_cast<double>(settings.slowCallerBytesPerSecond);
    if (!release)
        return out;
    out.maxHeaderBytes = static_cast<size_t>(release->headerBytes);
    out.maxBodyBytes = static_cast<size_t>(std::min(release->bodyBytes, settings.maxBodyBytes));
    out.headerTimeout = base::Millis(release->headerTimeoutMs);
    out.idleTimeout = base::Millis(release->idleTimeoutMs);
    return out;
}

} // namespace pomelowind::node
