#include "pomelowind/base/Packing.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Wire.h"

#include <cstring>
#include <zlib.h>

namespace pomelowind::base {

namespace {

    constexpr char RAW = 0;
    constexpr char DEFLATED = 1;
    // Shorter messages fit into one or two network packets, and compressing them costs more than it saves.
    constexpr size_t LEAST_BYTES = 2048;
    constexpr size_t HEADER_BYTES = 1 + sizeof(uint32_t);

    [[noreturn]] void malformed()
    {
        throw UserError(
            ErrorKind::Protocol, "malformed packed message", "check that all processes run the same release");
    }

}

std::string pack(std::string_view bytes)
{
    if (bytes.size() < LEAST_BYTES)
        return std::string(1, RAW).append(bytes);
    auto plainBytes = static_cast<uint32_t>(bytes.size());
    uLongf n = compressBound(bytes.size());
    std::string out(HEADER_BYTES + n, DEFLATED);
    std::memcpy(out.data() + 1, &plainBytes, sizeof plainBytes);
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
        malformed();
    if (packed.front() == RAW)
        return std::string(packed.substr(1));
    uint32_t plainBytes = 0;
    if (packed.front() != DEFLATED || packed.size() < HEADER_BYTES)
        malformed();
    std::memcpy(&plainBytes, packed.data() + 1, sizeof plainBytes);
    if (plainBytes > static_cast<uint32_t>(MAX_WIRE_BYTES))
        malformed();
    std::string out(plainBytes, '\0');
    uLongf n = plainBytes;
    auto body = packed.substr(HEADER_BYTES);
    if (uncompress(reinterpret_cast<Bytef*>(out.data()), &n, reinterpret_cast<const Bytef*>(body.data()), body.size())
            != Z_OK
        || n != plainBytes)
        malformed();
    return out;
}

} // namespace pomelowind::base
