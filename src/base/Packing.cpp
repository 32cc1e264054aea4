#include "pomelowind/base/Packing.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Wire.h"

#include <cstring>
#include <zlib.h>

namespace pomelowind::base {

namespace {

    constexpr char UNCOMPRESSED = 0;
    constexpr char COMPRESSED = 1;
    // Shorter messages fit into one or two network packets, and compressing them costs more than it saves.
    constexpr size_t COMPRESSION_THRESHOLD_BYTES = 2048;
    constexpr size_t HEADER_BYTES = 1 + sizeof(uint32_t);

    [[noreturn]] void throwMalformed()
    {
        throw UserError(
            ErrorKind::Protocol, "malformed packed message", "check that all processes run the same release");
    }

}

std::string pack(std::string_view bytes)
{
    if (bytes.size() < COMPRESSION_THRESHOLD_BYTES)
        return std::string(1, UNCOMPRESSED).append(bytes);
    auto uncompressedBytes = static_cast<uint32_t>(bytes.size());
    uLongf n = compressBound(bytes.size());
    std::string out(HEADER_BYTES + n, COMPRESSED);
    std::memcpy(out.data() + 1, &uncompressedBytes, sizeof uncompressedBytes);
    if (compress2(reinterpret_cast<Bytef*>(out.data() + HEADER_BYTES), &n, reinterpret_cast<const Bytef*>(bytes.data()),
            bytes.size(), Z_BEST_SPEED)
        != Z_OK)
        throw InternalFault("compressing a message failed");
    out.resize(HEADER_BYTES + n);
    return out;
}

std::string unpack(std::string_view packed)
{
    if (packed.empty())
        throwMalformed();
    if (packed.front() == UNCOMPRESSED)
        return std::string(packed.substr(1));
    uint32_t uncompressedBytes = 0;
    if (packed.front() != COMPRESSED || packed.size() < HEADER_BYTES)
        throwMalformed();
    std::memcpy(&uncompressedBytes, packed.data() + 1, sizeof uncompressedBytes);
    if (uncompressedBytes > static_cast<uint32_t>(MAX_WIRE_BYTES))
        throwMalformed();
    std::string out(uncompressedBytes, '\0');
    uLongf n = uncompressedBytes;
    auto body = packed.substr(HEADER_BYTES);
    if (uncompress(reinterpret_cast<Bytef*>(out.data()), &n, reinterpret_cast<const Bytef*>(body.data()), body.size())
            != Z_OK
        || n != uncompressedBytes)
        throwMalformed();
    return out;
}

} // namespace pomelowind::base
