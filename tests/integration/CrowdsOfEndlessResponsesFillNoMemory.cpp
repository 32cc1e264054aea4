// Guards against a node process that runs out of memory, or fails the calls of other callers, because a target of its
// host answers many calls with bytes without end.

#include "pomelowind/base/EventLoopThread.h"
#include "pomelowind/base/Listener.h"
#include "tests/support/CallerCrowd.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace pomelowind;
using boost::asio::ip::tcp;

namespace {

constexpr int SLOTS = 24;
constexpr int CALLERS = 24;
constexpr double MAX_MEMORY_MB = 128;
constexpr size_t PIECE_BYTES = 64 * 1024;

// Sends `start` and then `piece` again and again on each connection as soon as a request arrives, until the connection
// is closed.
class FloodingTarget {
public:
    FloodingTarget(const base::Address& address, std::string start, std::string piece)
        : m_eventLoop("flood")
        , m_acceptor(m_eventLoop.context())
        , m_start(std::move(start))
        , m_piece(std::move(piece))
    {
        base::listenOn(m_acceptor, address);
        accept();
        m_eventLoop.start();
    }
    ~FloodingTarget() { m_eventLoop.stop(); }

    int floods() const { return m_floods; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket accepted) {
            if (ec)
                return;
            auto socket = std::make_shared<tcp::socket>(std::move(accepted));
            socket->async_wait(tcp::socket::wait_read, [this, socket](boost::system::error_code) {
                ++m_floods;
                write(socket, m_start);
            });
            accept();
        });
    }

    void write(const std::shared_ptr<tcp::socket>& socket, const std::string& bytes)
    {
        boost::asio::async_write(
            *socket, boost::asio::buffer(bytes), [this, socket](boost::system::error_code ec, size_t) {
                if (!ec)
                    write(socket, m_piece);
            });
    }

    base::EventLoopThread m_eventLoop;
    tcp::acceptor m_acceptor;
    const std::string m_start;
    const std::string m_piece;
    std::atomic<int> m_floods { 0 };
};

class CrowdsOfEndlessResponsesFillNoMemory : public testing::Test {
protected:
    void SetUp() override
    {
        bench::MeshOptions options;
        options.controlHosts = 1;
        options.dataCentres = 1;
        options.nodes = 2;
        options.slots = SLOTS;
        options.extraNodeSettings = "body_memory_bytes: 16777216\n";
        mesh.emplace(options);
        mesh->startAll();
        mesh->startTarget({ "sound", "sound", "v1", 0, "" });
        mesh->createServices({ "flooding", "sound" });
        ASSERT_TRUE(mesh->waitFor([&] { return status("/sound/get") == 200; }));
    }

    // Status of a call by a caller of the flooding target's node.
    int status(const std::string& path)
    {
        return mesh->send(mesh->address("caller", 1), { "GET", path, { { "Host", "a.example" } }, "", nullptr }).status;
    }

    void announce(const base::Address& target)
    {
        nlohmann::json body { { "target", "flooding" }, { "service", "flooding" }, { "version", "v1" },
            { "address", target.text() }, { "slots", SLOTS }, { "incarnation", 1 }, { "state", "serving" } };
        mesh->send(mesh->address("announce", 1),
            { "POST", "/v1/announce", { { "Host", "node" }, { "Content-Type", "application/json" } }, body.dump() });
    }

    void expectBounded(const std::string& start, const std::string& piece)
    {
        auto address = mesh->address("target", 100);
        FloodingTarget target(address, start, piece);
        ASSERT_TRUE(mesh->waitFor([&] {
            announce(address);
            return status("/get") && target.floods();
        }));
        auto before = target.floods();
        tests::CallerCrowd crowd(mesh->address("caller", 1));
        for (int i = 0; i < CALLERS; ++i)
            crowd.add("GET /get HTTP/1.1\r\nHost: a.example\r\n\r\n", false);
        EXPECT_TRUE(mesh->waitFor([&] { return target.floods() > before; }));
        for (int i = 0; i < CALLERS; ++i)
            EXPECT_EQ(status("/sound/get"), 200);
        EXPECT_NE(status("/get"), 200);
        EXPECT_FALSE(mesh->waitForEnd("node-1", base::Millis(0))) << "the process has ended";
        EXPECT_LT(tests::peakMemoryMb(mesh->pid("node-1")), MAX_MEMORY_MB);
    }

    std::optional<bench::Mesh> mesh;
};

}

TEST_F(CrowdsOfEndlessResponsesFillNoMemory, InTheHead)
{
    expectBounded("HTTP/1.1 200 OK\r\nX-Odd: ", std::string(PIECE_BYTES, 'x'));
}

TEST_F(CrowdsOfEndlessResponsesFillNoMemory, InABodyWithoutALength)
{
    expectBounded("HTTP/1.1 200 OK\r\n\r\n", std::string(PIECE_BYTES, 'x'));
}

TEST_F(CrowdsOfEndlessResponsesFillNoMemory, InChunks)
{
    expectBounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + std::string(1024, 'x') + "\r\n");
}

TEST_F(CrowdsOfEndlessResponsesFillNoMemory, ThatAreNoResponses)
{
    expectBounded("odd", std::string(PIECE_BYTES, '\0'));
}
