// Readiness endpoint for the platform's load balancer: 200 while the node serves, 503 before and during a stop.
#pragma once

#include "pomelowind/http/HttpServer.h"

#include <atomic>

namespace pomelowind::node {

// Thread safety: setReady() from any thread; the rest is confined to the server's event loop.
class ReadyApi final : public http::HttpHandler {
public:
    // Returns the previous state.
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
