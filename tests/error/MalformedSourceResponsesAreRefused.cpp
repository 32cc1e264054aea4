// Guards against a control host that takes a broken response of its configuration source for updates, or that runs out
// of memory because the source sends bytes without end.

#include "pomelowind/base/Listener.h"
#include "pomelowind/config/ConfigSource.h"
#include "tests/support/CallPathFixture.h"

#include <gtest/gtest.h>
#include <unistd.h>

using namespace pomelowind;
using tests::RawConnection;

namespace {

const std::string UPDATES = R"([{"sequence":1,"name":"n","body":"b"}])";
constexpr size_t MAX_ACCEPTED_BYTES = 32 * 1024 * 1024; // the longest body, and what the kernel takes

std::string response(const std::string& status, const std::string& fields)
{
    return "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + std::to_string(UPDATES.size()) + "\r\n\r\n"
        + UPDATES;
}

struct Poll {
    std::optional<std::vector<config::SourceUpdate>> updates;
    size_t writtenBytes; // by the source
};

// Polls a source that sends `start`, then `piece` until the connection is closed, if it is not empty.
Poll poll(const std::string& start, const std::string& piece = {})
{
    // Tests run in parallel processes, so each uses an address of its own.
    const base::Address address {
        "127.78." + std::to_string(getpid() / 250 % 250) + "." + std::to_string(getpid() % 250 + 1), 8001
    };
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io);
    base::listenOn(acceptor, address);
    std::shared_ptr<RawConnection> connection;
    acceptor.async_accept([&](boost::system::error_code, boost::asio::ip::tcp::socket socket) {
        connection = std::make_shared<RawConnection>(std::move(socket));
        connection->start();
        connection->write(start);
        if (!piece.empty())
            connection->writeRepeatedly(piece);
    });
    auto source = config::makeHttpSource(io, address);
    Poll out {};
    bool ended = false;
    source->poll(0, [&](auto updates) {
        out.updates = std::move(updates);
        ended = true;
    });
    while (!ended)
        io.run_one();
    out.writtenBytes = connection->writtenBytes;
    connection->close();
    acceptor.close();
    source.reset();
    io.poll();
    return out;
}

}

TEST(MalformedSourceResponsesAreRefused, WithAStatusCodeThatDoesNotExist)
{
    ASSERT_TRUE(poll(response("200", "")).updates);
    for (const char* status : { "000", "099", "600", "999" }) {
        EXPECT_FALSE(poll(response(status, "")).updates) << status;
        EXPECT_FALSE(poll(response(status, "") + response("200", "")).updates) << status << " and a response behind it";
    }
}

TEST(MalformedSourceResponsesAreRefused, WithABlankOrControlByteInAFieldName)
{
    for (const char* line : { "X Odd: x", "X-Odd : x", "X-\x01Odd: x", " X-Odd: x", "\tX-Odd: x" }) {
        auto fields = std::string(line) + "\r\n";
        EXPECT_FALSE(poll(response("200", fields)).updates) << line;
        EXPECT_FALSE(poll(response("200", "X-Text: x\r\n" + fields)).updates) << line << " behind another field";
    }
}

TEST(MalformedSourceResponsesAreRefused, WithoutReadingBytesWithoutEnd)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string piece(65536, 'x');
    for (const auto& start : { head, head + "X-Odd: ", head + "\r\n", head + "Content-Length: 99999999999\r\n\r\n",
             head + "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n" }) {
        auto out = poll(start, piece);
        EXPECT_FALSE(out.updates) << start;
        EXPECT_LT(out.writtenBytes, MAX_ACCEPTED_BYTES) << start;
    }
}
