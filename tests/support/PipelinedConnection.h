// One connection to an HTTP server whose handler answers when the test says so, for tests of pipelined requests.
#pragma once

#include "pomelowind/http/HttpServer.h"
#include "tests/support/CallPathFixture.h"

#include <chrono>
#include <gtest/gtest.h>
#include <map>
#include <unistd.h>

namespace pomelowind::tests {

// Requests other than POST may overlap.
class HeldRequests final : public http::HttpHandler {
public:
    void handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply) override
    {
        auto path = request.path;
        reply->onCancel([this, path] { cancelled.push_back(path); });
        handled.push_back(path);
        m_replies[path] = std::move(reply);
    }
    bool mayOverlap(const http::HttpRequest& request) const override { return request.method != "POST"; }
    void answer(const std::string& path, int status = 200) { m_replies.at(path)->send({ status, {}, "for " + path }); }

    std::vector<std::string> handled; // paths, in order
    std::vector<std::string> cancelled;

private:
    std::map<std::string, std::shared_ptr<http::HttpReply>> m_replies;
};

class PipelinedConnection : public testing::Test {
protected:
    using Paths = std::vector<std::string>;

    explicit PipelinedConnection(http::HttpLimits limits = {})
        // Tests run in parallel processes, so each uses an address of its own.
        : address { "127.78." + std::to_string(getpid() / 250 % 250) + "." + std::to_string(getpid() % 250 + 1), 8001 }
        , server(http::makeHttpServer(io, address, limits, handler))
    {
        boost::asio::ip::tcp::socket socket(io);
        socket.connect({ boost::asio::ip::make_address(address.ip), address.port });
        caller = std::make_shared<RawConnection>(std::move(socket));
        caller->start();
    }
    ~PipelinedConnection() override
    {
        caller->close();
        server->close();
        io.poll();
    }

    static std::string get(const std::string& path, const std::string& headers = "")
    {
        return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
    }
    static std::string post(const std::string& path, size_t bytes = 2)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
            + std::string(bytes, 'x');
    }

    bool runUntil(const std::function<bool()>& condition)
    {
        auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < deadline)
            io.run_one_for(std::chrono::milliseconds(20));
        return condition();
    }
    bool runUntilHandled(size_t n)
    {
        return runUntil([&] { return handler.handled.size() >= n; });
    }
    // Lets time pass in which what must not happen could happen.
    void settle() { io.run_for(std::chrono::milliseconds(100)); }
    // The paths whose answers the caller has received, in order.
    Paths answered() const
    {
        Paths out;
        for (size_t at = 0; (at = caller->received.find("for ", at)) != std::string::npos; at += 4)
            out.push_back(caller->received.substr(at + 4, 2));
        return out;
    }

    boost::asio::io_context io;
    base::Address address;
    HeldRequests handler;
    std::unique_ptr<http::HttpServer> server;
    RawConnectionPtr caller;
};

} // namespace pomelowind::tests
