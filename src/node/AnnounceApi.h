// Local HTTP interface of a node: POST /v1/announce registers a target, GET /v1/node returns the node's state.
#pragma once

#include "DistributionCore.h"
#include "pomelowind/http/HttpServer.h"

namespace pomelowind::node {

// Thread safety: confined to the distribution event loop.
class AnnounceApi final : public http::HttpHandler {
public:
    AnnounceApi(const NodeSettings& settings, DistributionCore& core, const base::Clock& clock);
    void handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply) override;

private:
    void announce(const std::string& body, const std::shared_ptr<http::HttpReply>& reply);
    http::HttpResponse status() const;

    const NodeSettings& m_settings;
    DistributionCore& m_core;
    const base::Clock& m_clock;
};

} // namespace pomelowind::node
