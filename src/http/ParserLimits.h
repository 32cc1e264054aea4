// Limit of what the HTTP parsers of server and client buffer.
#pragma once

#include <cstddef>

namespace pomelowind::http {

// Limits input that a parser has not consumed: a header, chunk extensions or trailers. Bodies leave the buffer as they
// arrive. Beast throws out of the event loop for a field of 64 KiB or more, so no field may become that long.
inline constexpr size_t MAX_UNPARSED_BYTES = 65533;

} // namespace pomelowind::http
