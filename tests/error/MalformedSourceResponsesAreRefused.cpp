// Guards against a control host that takes a broken response of its configuration source for updates.

#include "pomelowind/base/Listener.h"
#include "pomelowind/config/ConfigSource.h"
#include "tests/support/CallPathFixture.h"

#include <gtest/gtest.h>
#include <unistd.h>

using namespace pomelowind;
using tests::RawConnection;

namespace {

const std::string UPDATES = R"([{"sequence":1,"name":"n","body":"b"}])";

std::string response(const std::string& status, const std::string& fields)
{
    return "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + std::to_string(UPDATES.size()) + "\r\n\r\n"
        + UPDATES;
}

// Polls a source that sends `text`.
std::optional<std::vector<config::SourceUpdate>> poll(const std::string& text)
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
        connection->write(text);
    });
    auto source = config::makeHttpSource(io, address);
    std::optional<std::vector<config::SourceUpdate>> out;
    bool ended = false;
    source->poll(0, [&](auto updates) {
        out = std::move(updates);
        ended = true;
    });
    while (!ended)
        io.run_one();
    connection->close();
    acceptor.close();
    source.reset();
    io.poll();
    return out;
}

}

TEST(MalformedSourceResponsesAreRefused, WithAStatusCodeThatDoesNotExist)
{
    ASSERT_TRUE(poll(response("200", "")));
    for (const char* status : { "000", "099", "600", "999" }) {
        EXPECT_FALSE(poll(response(status, ""))) << status;
        EXPECT_FALSE(poll(response(status, "") + response("200", ""))) << status << " and a response behind it";
    }
}
