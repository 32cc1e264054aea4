#include "CallerLimits.h"

#include <algorithm>

namespace pomelowind::node {

http::HttpLimits callerLimits(const NodeSettings& settings, const wire::ReleaseResource* release)
{
    http::HttpLimits out;
    out.maxBodyBytes = static_cast<size_t>(settings.maxBodyBytes);
    out.requestTimeout = settings.callerTimeout;
    out.pipelineDepth = static_cast<size_t>(settings.pipelineDepth);
    out.pipelineBytes = static_cast<size_t>(settings.pipelineBytes);
    if (!release)
        return out;
    out.maxHeaderBytes = static_cast<size_t>(release->headerBytes);
    out.maxBodyBytes = static_cast<size_t>(std::min(release->bodyBytes, settings.maxBodyBytes));
    out.headerTimeout = base::Millis(release->headerTimeoutMs);
    out.idleTimeout = base::Millis(release->idleTimeoutMs);
    return out;
}

} // namespace pomelowind::node
