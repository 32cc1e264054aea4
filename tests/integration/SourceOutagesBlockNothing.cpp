// Checks that submissions and distribution go on while the external configuration source is unavailable, and that
// updates that are repeated or out of order never replace newer ones.

#include "benchmarks/Mesh.h"
#include "pomelowind/config/ConfigSource.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using nlohmann::json;

namespace {

// Fake source. Answers each poll with the updates of the last set(), and holds the answer back while unavailable.
class FakeSource final : public http::HttpHandler {
public:
    explicit FakeSource(const base::Address& address)
        : m_eventLoop("source")
        , m_server(http::makeHttpServer(m_eventLoop.context(), address, {}, *this))
    {
        m_eventLoop.start();
    }
    ~FakeSource() override { m_eventLoop.stop(); }

    void handle(http::HttpRequest, std::shared_ptr<http::HttpReply> reply) override
    {
        std::lock_guard lock(m_mutex);
        if (m_unavailable)
            return m_heldReplies.push_back(reply);
        reply->send({ 200, {}, m_updates.dump() });
    }

    void set(json updates, bool unavailable)
    {
        std::lock_guard lock(m_mutex);
        m_updates = std::move(updates);
        m_unavailable = unavailable;
    }

private:
    std::mutex m_mutex;
    json m_updates = json::array();
    bool m_unavailable { false };
    std::vector<std::shared_ptr<http::HttpReply>> m_heldReplies;
    base::EventLoopThread m_eventLoop;
    std::unique_ptr<http::HttpServer> m_server;
};

json update(int64_t sequence, const std::string& note)
{
    return { { "sequence", sequence }, { "name", "fed" }, { "template", "t" },
        { "parameters", { { "host", "fed.example" }, { "note", note } } } };
}

}

TEST(SourceOutagesBlockNothing, OutOfOrderUpdatesAndAnUnavailableSource)
{
    base::Address address { "127.0.0.1", static_cast<uint16_t>(20000 + getpid() % 10000) };
    FakeSource source(address);
    bench::MeshOptions options;
    options.nodes = 1;
    options.extraControlSettings = "source_address: " + address.text() + "\nsource_period_ms: 50\n";
    bench::Mesh mesh(options);
    mesh.startAll();
    mesh.createServices({ "s" });
    auto note = [&] {
        return mesh.readOperatorApi("/v1/accounts/fed").value("parameters", json::object()).value("note", "");
    };
    source.set({ update(5, "five"), update(4, "four"), update(5, "five") }, false);
    ASSERT_TRUE(mesh.waitFor([&] { return note() == "five"; }));
    source.set({ update(3, "three"), "nonsense" }, false);
    source.set({ update(3, "three"), update(6, "six") }, false);
    ASSERT_TRUE(mesh.waitFor([&] { return note() == "six"; }));
    source.set(json::array(), true);
    auto base = mesh.readOperatorApi("/v1/accounts/a").value("base_version", int64_t { 0 });
    EXPECT_EQ(
        mesh.submit("PUT", "/v1/accounts/a",
                { { "template", "t" }, { "parameters", { { "host", "a.example" }, { "note", "during" } } } }, base)
            .first,
        200);
    EXPECT_TRUE(mesh.waitUntilApplied(1)) << "a source outage must not block submissions";
    EXPECT_EQ(note(), "six");
}

TEST(SourceOutagesBlockNothing, MalformedUpdatesAreRefused)
{
    EXPECT_FALSE(config::parseSourceUpdates("nonsense"));
    EXPECT_TRUE(config::parseSourceUpdates(R"([{"sequence":1}])")->empty()) << "an odd entry is left out";
    EXPECT_FALSE(config::parseSourceUpdates(R"({"sequence":1})"));
    EXPECT_TRUE(config::parseSourceUpdates("[]")->empty());
}
