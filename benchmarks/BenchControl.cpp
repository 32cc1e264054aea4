// Benchmarks of the control plane: convergence time and its cost, simultaneous restart of all nodes, and leader
// failover.

#include "benchmarks/BenchOutput.h"
#include "benchmarks/Mesh.h"
#include "pomelowind/base/Hash.h"
#include "pomelowind/config/ConfigState.h"
#include "pomelowind/http/HttpClient.h"

#include <set>
#include <thread>

namespace pomelowind::bench {

namespace {

    using base::Instant;
    using base::Millis;
    using nlohmann::json;

    constexpr size_t SETTLE_SECONDS = 6;

    Instant now() { return std::chrono::steady_clock::now(); }
    double millisSince(Instant from) { return std::chrono::duration<double, std::milli>(now() - from).count(); }

    json accountBody(const std::string& note)
    {
        return { { "template", "t" }, { "parameters", { { "host", "a.example" }, { "note", note } } } };
    }

    // Resources that the nodes and the busiest control host have used so far.
    struct ResourceUsage {
        double bytes { 0 }; // sent and received by the nodes
        double cpuSeconds { 0 };
        double rssMb { 0 }; // of the largest node
        double busiestControlBytes { 0 };
        Instant at;
    };

    ResourceUsage measureUsage(Mesh& mesh)
    {
        ResourceUsage out;
        for (int i = 0; i < mesh.options().nodes; ++i) {
            auto address = mesh.address("node-metrics", i);
            out.bytes += mesh.metric(address, "control_bytes_sent") + mesh.metric(address, "control_bytes_received");
            int pid = mesh.pid("node-" + std::to_string(i));
            out.cpuSeconds += processCpuSeconds(pid);
            out.rssMb = std::max(out.rssMb, processRssMb(pid));
        }
        for (int i = 0; i < mesh.options().controlHosts; ++i) {
            if (!mesh.isRunning("control-" + std::to_string(i)))
                continue;
            auto address = mesh.address("control-metrics", i);
            out.busiestControlBytes = std::max(out.busiestControlBytes,
                mesh.metric(address, "link_bytes_sent") + mesh.metric(address, "link_bytes_received"));
        }
        out.at = now();
        return out;
    }

    // Announces one state change of an endpoint per second in each data centre, alternately starting and draining.
    void churnEndpoints(Mesh& mesh, int seconds)
    {
        for (int s = 0; s < seconds; ++s) {
            auto due = now() + std::chrono::seconds(1);
            for (int dc = 0; dc < mesh.options().dataCentres; ++dc) {
                auto to = mesh.address("announce", dc);
                json body { { "target", "churn-" + std::to_string(dc) }, { "service", "s" }, { "version", "v0" },
                    { "address", "127.0.0.1:9" }, { "slots", 1 }, { "incarnation", 1 },
                    { "state", s % 2 ? "starting" : "leaving" } };
                mesh.send(to, { "POST", "/v1/announce", { { "Host", "node" } }, body.dump() });
            }
            std::this_thread::sleep_until(due);
        }
    }

    // Measures the time in milliseconds from acceptance of a change until each node has applied it, for `changes`
    // changes.
    std::vector<double> measureApplyTimes(Mesh& mesh, int changes)
    {
        std::vector<double> out;
        int leader = mesh.leader();
        for (int i = 0; i < changes; ++i) {
            auto base = mesh.readOperatorApi("/v1/accounts/a").value("base_version", int64_t { 0 });
            auto version = mesh.submit("PUT", "/v1/accounts/a", accountBody(std::to_string(i)), base)
                               .second.value("version", int64_t { 0 });
            auto accepted = now();
            int counted = 0;
            mesh.waitFor([&] {
                auto status = mesh.readOperatorApi("/v1/status", leader);
                int inForce
                    = status.value("version", int64_t { 0 }) >= version ? status["nodes"].value("in_force", 0) : 0;
                double ms = millisSince(accepted);
                for (; counted < inForce; ++counted)
                    out.push_back(ms);
                return counted >= mesh.options().nodes;
            });
        }
        return out;
    }

    // Baseline for the distribution: every node polls the leader for the full state once a second.
    class PollingBaseline {
    public:
        PollingBaseline(const base::Address& leader, int nodes)
            : m_leader(leader)
            , m_states(static_cast<size_t>(nodes), std::make_shared<const config::ConfigState>())
            , m_applied(static_cast<size_t>(nodes))
            , m_thread([this] { m_io.run(); })
        {
            for (int i = 0; i < nodes; ++i) {
                auto client = http::makeHttpClient(m_io, leader, { 1 });
                auto offset = Millis(1000 * i / nodes);
                auto timer = std::make_shared<boost::asio::steady_timer>(m_io, offset);
                timer->async_wait([this, i, client, timer](
                                      boost::system::error_code) { poll(static_cast<size_t>(i), client, timer); });
            }
        }

        ~PollingBaseline()
        {
            m_io.stop();
            m_thread.join();
        }

        uint64_t bytes() const { return m_bytes; }
        // Returns the last version that each poller applied and when; version 0 before the first one.
        std::vector<std::pair<int64_t, Instant>> applied()
        {
            std::lock_guard lock(m_mutex);
            return m_applied;
        }
        std::set<uint64_t> hashes()
        {
            std::lock_guard lock(m_mutex);
            std::set<uint64_t> out;
            for (const auto& it : m_states)
                out.insert(it->hash());
            return out;
        }

    private:
        void poll(size_t i, std::shared_ptr<http::HttpClient> client, std::shared_ptr<boost::asio::steady_timer> timer)
        {
            http::HttpRequest request { "GET", "/v1/resources",
                { { "Host", "c" }, { "Authorization", "Bearer test-token" } }, "" };
            client->request(request, Millis(5000), [this, i, client, timer](const http::ExchangeResult& result) {
                if (result.end == http::ExchangeEnd::Answered && result.response.status == 200)
                    applyResponse(i, result.response.body);
                timer->expires_after(Millis(1000));
                timer->async_wait([this, i, client, timer](boost::system::error_code) { poll(i, client, timer); });
            });
        }

        void applyResponse(size_t i, const std::string& body)
        {
            constexpr size_t HTTP_OVERHEAD_BYTES = 250;
            m_bytes += body.size() + HTTP_OVERHEAD_BYTES;
            auto result = m_states[i]->apply(base::decode<wire::Delta>(body));
            if (!result.state)
                return;
            std::lock_guard lock(m_mutex);
            m_states[i] = result.state;
            m_applied[i] = { result.state->version(), now() };
        }

        base::Address m_leader;
        boost::asio::io_context m_io;
        std::mutex m_mutex;
        std::vector<std::shared_ptr<const config::ConfigState>> m_states;
        std::vector<std::pair<int64_t, Instant>> m_applied;
        std::atomic<uint64_t> m_bytes { 0 };
        std::thread m_thread;
    };

    json measurePollingBaseline(Mesh& mesh, int changes, int seconds, bool& sameState)
    {
        PollingBaseline pollers(mesh.address("operator", mesh.leader()), mesh.options().nodes);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        uint64_t before = pollers.bytes();
        std::this_thread::sleep_for(std::chrono::seconds(seconds));
        double perNode = static_cast<double>(pollers.bytes() - before) / seconds / mesh.options().nodes;
        std::vector<double> times;
        for (int i = 0; i < changes; ++i) {
            auto base = mesh.readOperatorApi("/v1/accounts/a").value("base_version", int64_t { 0 });
            auto version = mesh.submit("PUT", "/v1/accounts/a", accountBody("n" + std::to_string(i)), base)
                               .second.value("version", int64_t { 0 });
            auto accepted = now();
            mesh.waitFor([&] {
                auto applied = pollers.applied();
                return std::all_of(applied.begin(), applied.end(), [&](const auto& it) { return it.first >= version; });
            });
            for (const auto& [appliedVersion, at] : pollers.applied())
                times.push_back(std::chrono::duration<double, std::milli>(at - accepted).count());
        }
        mesh.waitUntilApplied(mesh.options().nodes);
        auto hashes = pollers.hashes();
        std::set<std::string> nodeHashes;
        for (int i = 0; i < mesh.options().nodes; ++i)
            nodeHashes.insert(mesh.nodeState(i).value("hash", ""));
        sameState = hashes.size() == 1 && nodeHashes == std::set<std::string> { std::to_string(*hashes.begin()) };
        return { { "in_force_p50", quantile(times, 0.5) }, { "in_force_p99", quantile(times, 0.99) },
            { "in_force_max", quantile(times, 1) }, { "idle_bytes_per_node", perNode },
            { "busiest_control_bytes", perNode * mesh.options().nodes } };
    }

    // Adds accounts until the configuration has the size of the users' deployments.
    void addAccounts(Mesh& mesh, int count)
    {
        for (int i = 0; i < count; ++i)
            mesh.submit("PUT", "/v1/accounts/filler-" + std::to_string(i),
                { { "template", "t" }, { "parameters", { { "host", "f" + std::to_string(i) + ".example" } } } });
    }

}

int benchConvergence(const BenchOptions& options)
{
    auto began = now();
    MeshOptions meshOptions;
    meshOptions.nodes = options.nodes;
    Mesh mesh(meshOptions);
    mesh.startAll();
    mesh.createServices({ "s" });
    addAccounts(mesh, options.quick ? 30 : 150);
    bool converged = mesh.waitUntilApplied(options.nodes, Millis(60000));
    printProgress("nodes " + std::to_string(options.nodes)
        + (converged ? ": all have applied the configuration" : ": NOT all have applied the configuration"));
    std::this_thread::sleep_for(std::chrono::seconds(options.quick ? 3 : SETTLE_SECONDS));
    int seconds = options.quick ? 5 : 15;
    auto idleStart = measureUsage(mesh);
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    auto idleEnd = measureUsage(mesh);
    churnEndpoints(mesh, seconds);
    auto churnEnd = measureUsage(mesh);
    printProgress("measured idle and under endpoint churn");
    auto times = measureApplyTimes(mesh, options.quick ? 5 : 30);
    bool sameState = false;
    auto baseline = measurePollingBaseline(mesh, options.quick ? 2 : 6, seconds, sameState);
    double idleSeconds = std::chrono::duration<double>(idleEnd.at - idleStart.at).count();
    double churnSeconds = std::chrono::duration<double>(churnEnd.at - idleEnd.at).count();
    double n = options.nodes;
    json fields { { "nodes", options.nodes }, { "in_force_p50", quantile(times, 0.5) },
        { "in_force_p99", quantile(times, 0.99) }, { "in_force_max", quantile(times, 1) },
        { "idle_bytes_per_node", (idleEnd.bytes - idleStart.bytes) / idleSeconds / n },
        { "churn_bytes_per_node", (churnEnd.bytes - idleEnd.bytes) / churnSeconds / n },
        { "node_cpu_share", (idleEnd.cpuSeconds - idleStart.cpuSeconds) / idleSeconds / n },
        { "node_rss_mb", churnEnd.rssMb },
        { "busiest_control_bytes", (idleEnd.busiestControlBytes - idleStart.busiestControlBytes) / idleSeconds },
        { "naive", baseline }, { "different_states", sameState && converged ? 0 : 1 } };
    return printResult("convergence", options, began, fields, { "different_states" });
}

int benchRestartStorm(const BenchOptions& options)
{
    auto began = now();
    MeshOptions meshOptions;
    meshOptions.nodes = options.nodes;
    Mesh mesh(meshOptions);
    mesh.startAll();
    mesh.createServices({ "s" });
    mesh.waitUntilApplied(options.nodes, Millis(60000));
    std::vector<int64_t> versionsBefore;
    for (int i = 0; i < options.nodes; ++i)
        versionsBefore.push_back(mesh.nodeState(i).value("version", int64_t { 0 }));
    for (int i = 0; i < options.nodes; ++i)
        mesh.kill("node-" + std::to_string(i));
    printProgress("killed all nodes");
    auto controlBytes = [&] {
        double maxBytes = 0;
        for (int i = 0; i < 3; ++i)
            maxBytes = std::max(maxBytes, mesh.metric(mesh.address("control-metrics", i), "link_bytes_sent"));
        return maxBytes;
    };
    auto before = mesh.readOperatorApi("/v1/status").value("version", int64_t { 0 });
    auto started = now();
    for (int i = 0; i < options.nodes; ++i)
        mesh.startNode(i);
    int accepted = 0;
    double peak = 0;
    double last = controlBytes();
    auto lastAt = now();
    mesh.waitFor(
        [&] {
            auto base = mesh.readOperatorApi("/v1/accounts/a").value("base_version", int64_t { 0 });
            accepted
                += mesh.submit("PUT", "/v1/accounts/a", accountBody("storm" + std::to_string(accepted)), base).first
                    == 200
                ? 1
                : 0;
            if (millisSince(lastAt) >= 1000) {
                double bytes = controlBytes();
                peak = std::max(peak, (bytes - last) * 1000 / millisSince(lastAt));
                last = bytes;
                lastAt = now();
            }
            // Changes are submitted all the time, so a node counts as recovered once it serves at least the version
            // that was accepted when the nodes were killed.
            for (int i = 0; i < options.nodes; ++i) {
                auto state = mesh.nodeState(i);
                if (!state.value("serving", false) || state.value("version", int64_t { 0 }) < before)
                    return false;
            }
            return true;
        },
        Millis(60000));
    double allRecoveredMs = millisSince(started);
    int regressions = 0;
    for (int i = 0; i < options.nodes; ++i)
        regressions
            += mesh.nodeState(i).value("version", int64_t { 0 }) < versionsBefore[static_cast<size_t>(i)] ? 1 : 0;
    json fields { { "nodes", options.nodes }, { "all_in_force", allRecoveredMs },
        { "peak_feeder_bytes", peak > 0 ? json(peak) : json(last) }, { "accepted_meanwhile", accepted },
        { "version_regressions", regressions } };
    return printResult("restart-storm", options, began, fields, { "version_regressions" });
}

int benchFailover(const BenchOptions& options)
{
    auto began = now();
    MeshOptions meshOptions;
    meshOptions.nodes = 4;
    Mesh mesh(meshOptions);
    mesh.startAll();
    mesh.createServices({ "s" });
    int kills = options.quick ? 4 : 10;
    std::vector<double> gaps;
    std::vector<std::pair<std::string, json>> answers;
    auto put = [&](int i, const std::string& id) {
        return mesh.submit("PUT", "/v1/accounts/x" + std::to_string(i), accountBody("x"), 0, id);
    };
    for (int k = 0; k < kills; ++k) {
        for (int i = 0; i < 5; ++i) {
            int n = static_cast<int>(answers.size());
            std::string id = "failover-" + std::to_string(n);
            auto [status, answer] = put(n, id);
            answers.emplace_back(id, answer);
        }
        std::string leader = "control-" + std::to_string(mesh.leader());
        mesh.kill(leader);
        auto killed = now();
        int n = static_cast<int>(answers.size());
        auto [status, answer] = put(n, "failover-" + std::to_string(n));
        gaps.push_back(millisSince(killed));
        answers.emplace_back("failover-" + std::to_string(n), answer);
        mesh.startControl(leader.back() - '0', false);
        int host = leader.back() - '0';
        mesh.waitFor([&] { return mesh.readOperatorApi("/v1/status", host).value("fresh", false); });
        printProgress(
            "killed the leader; next change accepted after " + std::to_string(static_cast<int>(gaps.back())) + " ms");
    }
    int lost = 0;
    int changed = 0;
    for (size_t i = 0; i < answers.size(); ++i) {
        lost += mesh.readOperatorApi("/v1/accounts/x" + std::to_string(i)).contains("name") ? 0 : 1;
        changed += put(static_cast<int>(i), answers[i].first).second == answers[i].second ? 0 : 1;
    }
    json fields { { "kills", kills }, { "accept_again_p50", quantile(gaps, 0.5) },
        { "accept_again_max", quantile(gaps, 1) }, { "accepted", answers.size() }, { "lost", lost },
        { "changed_answers", changed } };
    return printResult("failover", options, began, fields, { "lost", "changed_answers" });
}

} // namespace pomelowind::bench
