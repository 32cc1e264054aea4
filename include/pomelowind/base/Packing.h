// Compression of large encoded messages, such as whole configurations, which repeat themselves a lot.
#pragma once

#include <string>
#include <string_view>

namespace pomelowind::base {

// The bytes in packed form; short ones stay as they are behind a tag. Thread safety: pure.
std::string pack(std::string_view bytes);
// What pack() was given. Thread safety: pure. Throws UserError(Protocol) when `packed` is not a packed form.
std::string unpack(std::string_view packed);

} // namespace pomelowind::base
