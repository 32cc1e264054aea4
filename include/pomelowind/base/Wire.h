// Encodes and decodes the messages of thrift/Wire.thrift in Thrift's compact protocol. Links and the control plane's
// storage use this format.
#pragma once

#include "pomelowind/base/Errors.h"
#include "thrift/gen-cpp/Wire_types.h"

#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace pomelowind::base {

// Maximum size of a frame on a link and of an unpacked message.
constexpr int32_t MAX_WIRE_BYTES = 32 * 1024 * 1024;

// Returns `message` encoded. Thread safety: pure.
template <class T> std::string encode(const T& message)
{
    using namespace apache::thrift;
    auto buf = std::make_shared<transport::TMemoryBuffer>();
    protocol::TCompactProtocolT<transport::TMemoryBuffer> protocol(buf);
    message.write(&protocol);
    return buf->getBufferAsString();
}

// Returns the decoded message. Thread safety: pure. Throws UserError(Protocol) when `bytes` is not a whole message of
// type T.
template <class T> T decode(std::string_view bytes)
{
    using namespace apache::thrift;
    try {
        auto buf = std::make_shared<transport::TMemoryBuffer>(
            reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data())), static_cast<uint32_t>(bytes.size()));
        protocol::TCompactProtocolT<transport::TMemoryBuffer> protocol(
            buf, static_cast<int32_t>(bytes.size()) + 1, static_cast<int32_t>(bytes.size()) + 1);
        T message;
        message.read(&protocol);
        return message;
    } catch (const std::exception& e) {
        throw UserError(ErrorKind::Protocol, std::string("malformed message: ") + e.what(),
            "check that all processes run the same release");
    }
}

} // namespace pomelowind::base
