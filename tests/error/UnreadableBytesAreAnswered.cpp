// Guards against bytes that are not UTF-8, in a body, a path or a stored text, ending the process that puts them into
// an answer (review/1: one configuration that was cut inside a character ended every control host).

#include "control/Views.h"
#include "platform/InstanceHandler.h"
#include "platform/OperatorHandler.h"
#include "pomelowind/base/Errors.h"
#include "pomelowind/operators/OperatorApi.h"
#include "tests/support/SingleControlHost.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace pomelowind;
using nlohmann::json;
using operators::View;

namespace {

const std::string DOCUMENT
    = R"({"version":"r7","base_version":0,"routes":[{"name":"búsqueda","host":"a.example","path_prefix":"/a/",)"
      R"("route_kind":"idempotent","timeout_ms":1200,"target_latency_ms":400,"priority":1,"service":"desk",)"
      R"("max_attempts":2}],"services":[{"name":"desk","health_path":"/h","max_conns":9}],"limits":)"
      R"({"max_header_bytes":16384,"max_body_bytes":99,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

class RecordedReply final : public http::HttpReply {
public:
    void send(http::HttpResponse next) override
    {
        ++sent;
        response = std::move(next);
    }
    void sendTruncated(http::HttpResponse, size_t) override { }
    void onCancel(std::function<void()>) override { }

    int sent { 0 };
    http::HttpResponse response;
};

// Serves the handlers from one control host, without threads.
class LocalBackend final : public operators::ControlBackend {
public:
    void submit(wire::Command command, CommandDone done) override { done(host.submit(std::move(command))); }
    void view(View view, const std::string& name, size_t limit, ViewDone done) override
    {
        auto answer = control::renderView(*host.core, view, name, limit);
        done(answer.status, answer.json);
    }
    void changeMembers(wire::Membership, std::function<void(bool)> done) override { done(false); }

    tests::SingleControlHost host;
};

class NoTargets final : public node::TargetRegistry {
public:
    void announce(const node::Announcement&) override { }
    void depart(const std::string&, std::optional<int64_t>) override { }
    void whenRecorded(const std::string&, std::function<void(bool)> done) override { done(true); }
};

class UnreadableBytesAreAnswered : public testing::Test {
protected:
    http::HttpResponse send(http::HttpHandler& handler, const std::string& method, const std::string& path,
        const std::string& body, const http::HttpHeaders& headers = {})
    {
        auto reply = std::make_shared<RecordedReply>();
        EXPECT_NO_THROW(handler.handle({ method, path, headers, body, nullptr }, reply));
        EXPECT_EQ(reply->sent, 1);
        EXPECT_TRUE(json::accept(reply->response.body)) << reply->response.body;
        return reply->response;
    }

    LocalBackend backend;
    std::unique_ptr<http::HttpHandler> handler = platform::makeOperatorHandler(backend, 0.1);
};

}

TEST_F(UnreadableBytesAreAnswered, ConfigurationCutAtAnyByte)
{
    for (size_t n = 0; n < DOCUMENT.size(); ++n)
        EXPECT_EQ(send(*handler, "POST", "/v1/Config.Put", DOCUMENT.substr(0, n)).status, 400) << n;
    EXPECT_EQ(send(*handler, "POST", "/v1/Config.Put", DOCUMENT).status, 200);
}

TEST_F(UnreadableBytesAreAnswered, AnyByteInPlaceOfAnother)
{
    for (size_t at = 0; at < DOCUMENT.size(); at += 5) {
        for (int byte = 0; byte < 256; byte += 3) {
            auto body = DOCUMENT;
            body[at] = static_cast<char>(byte);
            send(*handler, "POST", "/v1/Config.Put", body);
            send(*handler, "POST", "/v1/Rollouts.Start", body);
        }
    }
}

TEST_F(UnreadableBytesAreAnswered, PathWithAnyByte)
{
    for (int byte = 1; byte < 256; ++byte) {
        std::string name(1, static_cast<char>(byte));
        EXPECT_EQ(send(*handler, "GET", "/v1/Rollouts.Get/" + name, "").status, 404);
        send(*handler, "GET", "/v1/" + name, "");
    }
}

TEST_F(UnreadableBytesAreAnswered, ProductApiAndItsAuditTrail)
{
    wire::Command command;
    command.kind = wire::CommandKind::SET_SERVICE;
    command.name = "caf\xc3";
    command.requestId = "\xff";
    command.body = "v1";
    EXPECT_EQ(backend.host.submit(command).code, wire::ResultCode::INVALID);
    for (auto view : { View::Services, View::Templates, View::Accounts, View::Moves, View::ServiceMove, View::Status,
             View::History, View::Audit, View::Members }) {
        control::ViewResponse answer;
        EXPECT_NO_THROW(answer = control::renderView(*backend.host.core, view, "caf\xc3", 10));
        EXPECT_TRUE(json::accept(answer.json)) << answer.json;
    }
}

TEST_F(UnreadableBytesAreAnswered, HeartbeatWithAnyByte)
{
    NoTargets targets;
    auto instances = platform::makeInstanceHandler(targets);
    const std::string body = R"({"address":"10.0.0.9:8080","info":{"service":"é","version":"v1","zone":"z","slots":6},)"
                             R"("status":{"state":"ready","sequence":4,"cold_left_ms":0}})";
    for (size_t n = 0; n < body.size(); ++n) {
        EXPECT_EQ(send(*instances, "POST", "/v1/Instances.Heartbeat/i\xff", body.substr(0, n)).status, 400) << n;
        auto changed = body;
        changed[n] = '\xc3';
        send(*instances, "POST", "/v1/Instances.Heartbeat/i", changed);
    }
    send(*instances, "POST", "/v1/Instances.Deregister/\xc3", "\xff");
    EXPECT_EQ(send(*instances, "POST", "/v1/Instances.Heartbeat/i", body).status, 200);
}
