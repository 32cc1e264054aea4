// Tells the platform whether callers may be sent to this node: 200 while it serves, 503 before and during a stop.
#pragma once

#include "pomelowind/http/HttpServer.h"

#include <atomic>

namespace pomelowind::node {

// Thread safety: setReady() from any thread; the rest is confined to the server's duty.
class ReadyApi final : public http::HttpHandler {
public:
    // Returns the state before.
    bool setReady(bool ready) { return m_ready.exchange(ready); }

    void handle(http::HttpRequest, std::shared_ptr<http::HttpReply> reply) override
    {
        constexpr int READY = 200;
        constexpr int NOT_READY = 503;
        http::HttpResponse response;
        response.status = m_ready ? READY : NOT_READY;
        reply->send(std::move(response));
    }

private:
    std::atomic<bool> m_ready { false };
};

} // namespace pomelowind::node
