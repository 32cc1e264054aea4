// Compression of large encoded messages that contain many repetitions, such as full configurations, before they are
// sent or stored.
#pragma once

#include <string>
#include <string_view>

namespace pomelowind::base {

// Returns `bytes` in packed form: a tag byte followed by the bytes, compressed unless they are few.
// Thread safety: pure.
std::string pack(std::string_view bytes);
// Returns the bytes that were given to pack(). Thread safety: pure. Throws UserError(Protocol) when `packed` is
// malformed or decompresses to more than MAX_WIRE_BYTES.
std::string unpack(std::string_view packed);

} // namespace pomelowind::base
