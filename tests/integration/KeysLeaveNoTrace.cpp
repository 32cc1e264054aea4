// Guards against a key of a client account in anything that leaves a node or a control host but the configuration that
// operators read back: log lines, metrics, views, error texts, state sent to nodes, and the requests that targets get.
// Real processes serve accepted and refused calls, and accept and reject configurations.

#include "benchmarks/Mesh.h"
#include "control/Views.h"
#include "platform/OperatorHandler.h"
#include "tests/support/SingleControlHost.h"

#include <fstream>
#include <gtest/gtest.h>
#include <mutex>
#include <sstream>

using namespace pomelowind;
using base::Millis;
using nlohmann::json;

namespace {

constexpr char KEY[] = "secret-0f5c-key-of-shop";
constexpr char UNKNOWN_KEY[] = "secret-77ab-unknown";
constexpr char SECRET[] = "secret-"; // begin of both

json document(int number, int base)
{
    return { { "version", "r" + std::to_string(number) }, { "base_version", "r" + std::to_string(base) },
        { "routes",
            { { { "name", "one" }, { "host", "a.example" }, { "path_prefix", "/one/" }, { "route_kind", "idempotent" },
                { "timeout_ms", 3000 }, { "target_latency_ms", 1000 }, { "priority", 1 }, { "service", "desk" },
                { "max_attempts", 2 } } } },
        { "services", { { { "name", "desk" }, { "health_path", "/healthz" }, { "max_conns", 130 } } } },
        { "tenants", { { { "name", "shop" }, { "api_keys", { KEY } }, { "priority", 1 } } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
}

// Documents that are rejected in different places of the decoder and of the checks.
std::vector<std::string> rejectedDocuments()
{
    auto text = document(9, 8).dump();
    auto sameKey = document(9, 8);
    sameKey["tenants"].push_back({ { "name", "bank" }, { "api_keys", { KEY } }, { "priority", 1 } });
    auto cut = text.substr(0, text.find(KEY) + sizeof(KEY) - 1);
    auto control = text;
    control.insert(control.find(KEY) + sizeof(KEY) - 1, 1, '\x01');
    return { cut, control, sameKey.dump() };
}

// A target that records the requests it gets.
class RecordingTarget final : public http::HttpHandler {
public:
    explicit RecordingTarget(const base::Address& address)
        : m_eventLoop("target")
        , m_server(http::makeHttpServer(m_eventLoop.context(), address, {}, *this))
    {
        m_eventLoop.start();
    }
    ~RecordingTarget() override { m_eventLoop.stop(); }

    void handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply) override
    {
        std::lock_guard lock(m_mutex);
        m_received += request.method + " " + request.path + "\n" + request.body + "\n";
        for (const auto& it : request.headers)
            m_received += it.name + ": " + it.value + "\n";
        http::HttpHeaders headers { { "X-Server-Stamp", "stamp" } };
        headers.push_back({ "X-Request-Id", std::string(http::findHeader(request.headers, "X-Request-Id")) });
        reply->send({ 200, headers, "ok" });
    }
    std::string received()
    {
        std::lock_guard lock(m_mutex);
        return m_received;
    }

private:
    std::mutex m_mutex;
    std::string m_received;
    base::EventLoopThread m_eventLoop;
    std::unique_ptr<http::HttpServer> m_server;
};

http::HttpRequest call(const std::string& id, const std::string& key)
{
    http::HttpRequest out;
    out.method = "GET";
    out.path = "/one/1";
    out.headers = { { "Host", "a.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "2000" } };
    if (!key.empty())
        out.headers.push_back({ "Authorization", "Token " + key });
    return out;
}

http::HttpRequest post(const std::string& path, const std::string& body)
{
    return { "POST", path, { { "Host", "control" }, { "Content-Type", "application/json" } }, body, nullptr };
}

std::string fileText(const std::string& path)
{
    std::ostringstream out;
    out << std::ifstream(path).rdbuf();
    return out.str();
}

// Starts control host 0 without the operators' roles in its settings, which only the product's own API has.
void startPlatformControl(bench::Mesh& mesh)
{
    mesh.startControl(0);
    mesh.kill("control-0");
    auto settings = fileText(mesh.settingsFile("control-0"));
    auto roles = settings.find("operators:");
    settings.erase(roles, settings.find("protocol:") - roles);
    std::ofstream(mesh.settingsFile("control-0")) << settings;
    mesh.startAgain("control-0");
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

std::string textOf(const http::HttpResponse& response)
{
    std::string out = response.body;
    for (const auto& it : response.headers)
        out += "\n" + it.name + ": " + it.value;
    return out;
}

// Gives the platform's operator calls direct access to one control host.
class DirectBackend final : public operators::ControlBackend {
public:
    explicit DirectBackend(tests::SingleControlHost& host)
        : m_host(host)
    {
    }
    void submit(wire::Command command, CommandDone done) override { done(m_host.submit(std::move(command))); }
    void view(operators::View view, const std::string& name, size_t limit, ViewDone done) override
    {
        auto out = control::renderView(*m_host.core, view, name, limit);
        done(out.status, out.json);
    }
    void changeMembers(wire::Membership, std::function<void(bool)> done) override { done(false); }

private:
    tests::SingleControlHost& m_host;
};

class RecordedReply final : public http::HttpReply {
public:
    void send(http::HttpResponse response) override { last = std::move(response); }
    void sendTruncated(http::HttpResponse response, size_t) override { last = std::move(response); }
    void onCancel(std::function<void()>) override { }
    http::HttpResponse last;
};

}

TEST(KeysLeaveNoTrace, OfNodesAndControlHosts)
{
    bench::MeshOptions options;
    options.controlHosts = 1;
    options.dataCentres = 1;
    options.nodes = 2;
    options.extraNodeSettings = "protocol: platform\nlog_level: debug\n";
    options.extraControlSettings = "protocol: platform\nlog_level: debug\n";
    bench::Mesh mesh(options);
    startPlatformControl(mesh);
    mesh.startNode(0);
    mesh.startNode(1);
    RecordingTarget target(mesh.address("target", 1));
    auto control = mesh.address("operator", 0);
    std::string answers;
    ASSERT_TRUE(
        mesh.waitFor([&] { return mesh.send(control, post("/v1/Config.Put", document(1, 0).dump())).status == 200; }));
    for (const auto& it : rejectedDocuments()) {
        auto response = mesh.send(control, post("/v1/Config.Put", it));
        EXPECT_EQ(response.status, 400) << response.body;
        answers += textOf(response);
    }
    json heartbeat { { "address", mesh.address("target", 1).text() }, { "born", 1 },
        { "info", { { "service", "desk" }, { "version", "v1" }, { "zone", "dc0" }, { "slots", 4 } } },
        { "status", { { "state", "ready" }, { "sequence", 1 }, { "cold_left_ms", 0 } } } };
    int n = 0;
    ASSERT_TRUE(mesh.waitFor([&] {
        heartbeat["status"]["sequence"] = ++n;
        mesh.send(mesh.address("announce", 1), post("/v1/Instances.Heartbeat/t1", heartbeat.dump()));
        return mesh.send(mesh.address("caller", 0), call("a-" + std::to_string(n), KEY)).status == 200;
    }));
    for (int node : { 0, 1 }) {
        for (const std::string key : { UNKNOWN_KEY, "" }) {
            auto response = mesh.send(mesh.address("caller", node), call("b-1", key));
            EXPECT_EQ(response.status, 401);
            answers += textOf(response);
        }
        EXPECT_EQ(mesh.send(mesh.address("caller", node), call("c-1", KEY)).status, 200);
        answers += mesh.send(mesh.address("node-metrics", node), { "GET", "/metrics", {}, "", nullptr }).body;
        answers += mesh.send(mesh.address("announce", node), { "GET", "/v1/node", {}, "", nullptr }).body;
    }
    answers += mesh.send(mesh.address("control-metrics", 0), { "GET", "/metrics", {}, "", nullptr }).body;
    EXPECT_TRUE(contains(answers, "calls_unauthorized"));
    EXPECT_FALSE(contains(answers, SECRET)) << answers;
    auto readBack = mesh.send(control, { "GET", "/v1/Config.Get", {}, "", nullptr });
    EXPECT_EQ(readBack.body, document(1, 0).dump()) << "as it was sent";
    auto received = target.received();
    EXPECT_TRUE(contains(received, "X-Tenant: shop"));
    EXPECT_FALSE(contains(received, SECRET)) << received;
    for (const char* process : { "control-0", "node-0", "node-1" }) {
        auto log = fileText(mesh.folder() + "/" + process + ".log");
        EXPECT_TRUE(contains(log, "event=")) << process;
        EXPECT_FALSE(contains(log, SECRET)) << process << "\n" << log;
    }
    EXPECT_TRUE(contains(fileText(mesh.folder() + "/control-0.log"), "operator.refused"));
    EXPECT_TRUE(contains(fileText(mesh.folder() + "/node-0.log"), "status=401"));
}

TEST(KeysLeaveNoTrace, OfViewsAndOfStateSentToNodes)
{
    tests::SingleControlHost host;
    DirectBackend backend(host);
    auto handler = platform::makeOperatorHandler(backend, 0.01);
    auto send = [&](const std::string& text) {
        auto reply = std::make_shared<RecordedReply>();
        handler->handle(post("/v1/Config.Put", text), reply);
        return reply->last;
    };
    ASSERT_EQ(send(document(1, 0).dump()).status, 200);
    EXPECT_EQ(send(document(1, 0).dump()).status, 200) << "a resend, answered from the remembered results";
    EXPECT_EQ(send(document(3, 2).dump()).status, 412) << "another base";
    for (const auto& it : rejectedDocuments())
        EXPECT_FALSE(contains(textOf(send(it)), SECRET));
    using operators::View;
    for (auto view : { View::Services, View::Templates, View::Accounts, View::Moves, View::Status, View::History,
             View::Audit, View::Members, View::Resources })
        EXPECT_FALSE(contains(control::renderView(*host.core, view, {}, 100).json, SECRET));
    auto accounts = json::parse(control::renderView(*host.core, View::Accounts, {}, 0).json);
    ASSERT_EQ(accounts.size(), 1u);
    EXPECT_EQ(accounts[0]["name"], "shop");
    EXPECT_EQ(accounts[0]["keys"], 1) << "how many, not which";
    auto image = host.core->machine().image();
    EXPECT_TRUE(contains(image.releaseDocument, KEY)) << "kept for reading back";
    image.releaseDocument.clear();
    EXPECT_FALSE(contains(base::encode(image), SECRET)) << "resources, audit and remembered results";
}
