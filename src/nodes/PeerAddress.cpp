#include "pomelowind/nodes/PeerAddress.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Log.h"

namespace pomelowind::nodes {

std::optional<base::Address> peerAddress(const std::string& text)
{
    try {
        return base::parseAddress(text);
    } catch (const base::UserError& e) {
        base::logRateLimited("peer.bad_address", { { "error", e.what() } });
        return std::nullopt;
    }
}

} // namespace pomelowind::nodes
