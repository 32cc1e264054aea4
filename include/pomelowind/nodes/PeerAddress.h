// Addresses of nodes and control hosts as other processes report them. An entry whose address cannot be used must not
// keep a node from using the others.
#pragma once

#include "pomelowind/base/Settings.h"

#include <optional>
#include <string>

namespace pomelowind::nodes {

// Returns the address in `text`, or nothing, after logging event=peer.bad_address, when it is none.
// Thread safety: any thread.
std::optional<base::Address> peerAddress(const std::string& text);

} // namespace pomelowind::nodes
