// Benchmarks of the call path: latency added by the nodes, goodput under overload, idempotency-key claims while claim
// holders are killed, and graceful shutdown.

#include "benchmarks/BenchOutput.h"
#include "benchmarks/Mesh.h"
#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Wire.h"

#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace pomelowind::bench {

namespace {

    using base::Instant;
    using base::Millis;
    using nlohmann::json;

    // The number that a node's state shows for a target that serves calls.
    constexpr int SERVING_STATE = static_cast<int>(wire::TargetState::SERVING);

    Instant now() { return std::chrono::steady_clock::now(); }

    standins::LoadOptions makeLoadOptions(
        std::vector<base::Address> addresses, const std::string& path, double rate, double seconds)
    {
        standins::LoadOptions out;
        out.addresses = std::move(addresses);
        out.hosts = { "a.example" };
        out.paths = { path };
        out.ratePerSecond = rate;
        out.seconds = seconds;
        return out;
    }

    // Waits until every node answers a GET of `path` with 200; returns false after 20 s.
    bool waitUntilServing(Mesh& mesh, const std::string& path)
    {
        return mesh.waitFor([&] {
            for (const auto& it : mesh.callerAddresses()) {
                if (mesh.send(it, { "GET", path, { { "Host", "a.example" } }, "" }, Millis(3000)).status != 200)
                    return false;
            }
            return true;
        });
    }

    // Starts all processes with a target of service `s` at each node, and waits until every node serves calls.
    void startServingMesh(Mesh& mesh, const std::string& extraSettings)
    {
        mesh.startAll();
        for (int i = 0; i < mesh.options().nodes; ++i)
            mesh.startTarget({ "t" + std::to_string(i), "s", "v1", i, extraSettings });
        mesh.createServices({ "s" });
        mesh.waitUntilApplied(mesh.options().nodes);
        waitUntilServing(mesh, "/get");
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }

    // Counts the requests of a load's log that were answered as not run although a target ran them.
    int countFalseNotRun(const std::string& logFile, std::map<std::string, int>& runs)
    {
        int out = 0;
        std::ifstream in(logFile);
        std::string line;
        while (std::getline(in, line)) {
            std::istringstream fields(line);
            std::string time;
            std::string id;
            std::string path;
            std::string verdict;
            fields >> time >> id >> path >> verdict;
            out += verdict == "not-run" && runs[id] ? 1 : 0;
        }
        return out;
    }

    // Measures a chain of `depth` services in which the target of each calls the next one through its own node, and the
    // last target without nodes for comparison.
    json measureChain(int depth, double rate, double seconds, uint64_t seed)
    {
        MeshOptions options;
        options.nodes = depth;
        options.dataCentres = 1;
        options.serviceMs = 0;
        options.slots = 100;
        Mesh mesh(options);
        mesh.startAll();
        std::vector<std::string> services;
        for (int i = 0; i < depth; ++i) {
            std::string name = "s" + std::to_string(i);
            services.push_back(name);
            std::string extraSettings = "exponential: false\n";
            if (i + 1 < depth)
                extraSettings += "downstream_address: " + mesh.address("caller", i).text()
                    + "\ndownstream_host: a.example\ndownstream_path: /s" + std::to_string(i + 1) + "/get\n";
            mesh.startTarget({ "t" + std::to_string(i), name, "v1", i, extraSettings });
        }
        mesh.createServices(services);
        mesh.waitUntilApplied(depth);
        waitUntilServing(mesh, "/get");
        std::this_thread::sleep_for(std::chrono::seconds(1));
        auto through = runLoad(makeLoadOptions({ mesh.address("caller", 0) }, "/get", rate, seconds), seed);
        auto direct = runLoad(makeLoadOptions({ mesh.address("target", depth - 1) }, "/get", rate, seconds), seed);
        double directP99 = direct.quantile(0.99);
        return { { "depth", depth }, { "calls_per_second", rate }, { "through_p50", through.quantile(0.5) },
            { "through_p99", through.quantile(0.99) }, { "through_p999", through.quantile(0.999) },
            { "direct_p50", direct.quantile(0.5) }, { "direct_p99", directP99 },
            { "added_p99", through.quantile(0.99) - directP99 },
            { "added_p99_per_hop", (through.quantile(0.99) - directP99) / depth }, { "ok", through.ok },
            { "sent", through.sent } };
    }

    // Latency and CPU cost of calls that enter at one node and run at a target of another.
    struct PairMeasurement {
        standins::LoadSummary direct;
        standins::LoadSummary through;
        double callsPerCore { 0 };
    };

    PairMeasurement measurePair(Mesh& mesh, double rate, double seconds, uint64_t seed)
    {
        PairMeasurement out;
        auto cpu = [&] { return processCpuSeconds(mesh.pid("node-0")) + processCpuSeconds(mesh.pid("node-1")); };
        out.direct = runLoad(makeLoadOptions({ mesh.address("target", 0) }, "/get", rate, seconds), seed);
        double before = cpu();
        out.through = runLoad(makeLoadOptions({ mesh.address("caller", 0) }, "/get", rate, seconds), seed);
        out.callsPerCore = static_cast<double>(out.through.ok) / std::max(0.001, cpu() - before);
        return out;
    }

}

int benchAddedLatency(const BenchOptions& options)
{
    auto started = now();
    double seconds = options.quick ? 3 : 10;
    MeshOptions meshOptions;
    meshOptions.nodes = 2;
    meshOptions.dataCentres = 1;
    meshOptions.serviceMs = 0;
    meshOptions.slots = 400;
    Mesh mesh(meshOptions);
    mesh.startAll();
    mesh.startTarget({ "t0", "s", "v1", 1, "exponential: false\n" });
    mesh.createServices({ "s" });
    mesh.waitUntilApplied(2);
    waitUntilServing(mesh, "/get");
    std::this_thread::sleep_for(std::chrono::seconds(1));
    json rates = json::array();
    json base;
    for (double rate : { 345.0, 1725.0, 10000.0 }) {
        auto it = measurePair(mesh, rate, seconds, options.seed);
        json row { { "calls_per_second", rate }, { "direct_p50", it.direct.quantile(0.5) },
            { "direct_p99", it.direct.quantile(0.99) }, { "through_p50", it.through.quantile(0.5) },
            { "through_p99", it.through.quantile(0.99) }, { "through_p999", it.through.quantile(0.999) },
            { "added_p99", it.through.quantile(0.99) - it.direct.quantile(0.99) },
            { "calls_per_core_second", it.callsPerCore }, { "ok", it.through.ok }, { "sent", it.through.sent } };
        printProgress(row.dump());
        rates.push_back(row);
        if (base.is_null())
            base = row;
    }
    json depths = json::array();
    for (int depth : { 3, 11 }) {
        depths.push_back(measureChain(depth, 100, seconds, options.seed));
        printProgress(depths.back().dump());
    }
    base["depth"] = 1;
    base["rates"] = rates;
    base["depths"] = depths;
    return printResult("added-latency", options, started, base, {});
}

int benchOverload(const BenchOptions& options)
{
    auto started = now();
    double seconds = options.quick ? 2 : 6;
    constexpr int TARGETS = 4;
    constexpr int SLOTS = 6;
    constexpr int SERVICE_MS = 10;
    double capacity = TARGETS * SLOTS * 1000.0 / SERVICE_MS;
    json fields { { "capacity", capacity } };
    for (bool limitsEnabled : { true, false }) {
        MeshOptions meshOptions;
        meshOptions.nodes = TARGETS;
        meshOptions.slots = SLOTS;
        meshOptions.serviceMs = SERVICE_MS;
        meshOptions.extraNodeSettings = std::string("limits_enabled: ") + (limitsEnabled ? "true" : "false") + "\n";
        Mesh mesh(meshOptions);
        startServingMesh(mesh, "");
        json curve = json::array();
        double peak = 0;
        json last;
        for (double loadFactor : { 0.5, 0.8, 1.0, 1.5, 2.0, 3.0 }) {
            auto load = makeLoadOptions(mesh.callerAddresses(), "/get", capacity * loadFactor, seconds);
            auto it = runLoad(load, options.seed);
            double goodput = static_cast<double>(it.ok) / seconds;
            peak = std::max(peak, goodput);
            last = { { "load", loadFactor }, { "goodput", goodput }, { "p99", it.quantile(0.99) },
                { "not_run", it.notRun }, { "lost", it.lost }, { "unknown", it.unknown } };
            printProgress((limitsEnabled ? "limits " : "no limits ") + last.dump());
            curve.push_back(last);
        }
        json figures { { "peak_goodput", peak }, { "goodput_3x", last["goodput"] }, { "p99_3x", last["p99"] },
            { "curve", curve } };
        if (limitsEnabled)
            fields.update(figures);
        else
            fields["no_limits"] = figures;
    }
    return printResult("overload", options, started, fields, {});
}

int benchClaims(const BenchOptions& options)
{
    auto started = now();
    MeshOptions meshOptions;
    meshOptions.nodes = 8;
    meshOptions.serviceMs = 1;
    Mesh mesh(meshOptions);
    startServingMesh(mesh, "exponential: false\n");
    mesh.waitFor([&] {
        auto key = base::makeUuidV7(base::SystemClock().wallMs());
        return mesh.send(mesh.callerAddresses()[0],
                       { "POST", "/post", { { "Host", "a.example" }, { "Idempotency-Key", key } }, "" })
                   .status
            == 200;
    });
    double rate = 500;
    auto unkeyed = makeLoadOptions(mesh.callerAddresses(), "/post", rate, options.quick ? 3 : 8);
    unkeyed.method = "POST";
    auto unkeyedSummary = runLoad(unkeyed, options.seed);
    auto keyedWithoutKills = unkeyed;
    keyedWithoutKills.keyed = true;
    auto keyedSummary = runLoad(keyedWithoutKills, options.seed + 1);
    auto keyed = keyedWithoutKills;
    keyed.seconds = options.quick ? 8 : 40;
    keyed.maxResends = 4;
    keyed.logFile = mesh.folder() + "/calls.txt";
    auto running = std::async(std::launch::async, [&] { return runLoad(keyed, options.seed + 2); });
    int kills = 0;
    auto until = now() + std::chrono::milliseconds(static_cast<int>(keyed.seconds * 1000) - 2000);
    while (now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        std::string node = "node-" + std::to_string(4 + kills % 4);
        mesh.kill(node);
        mesh.startNode(4 + kills % 4);
        ++kills;
    }
    auto summary = running.get();
    auto runs = mesh.runCountsByKey();
    int duplicates = 0;
    for (const auto& [key, n] : runs)
        duplicates += n > 1 ? 1 : 0;
    json fields { { "requests", summary.sent }, { "resends", summary.resends }, { "holder_kills", kills },
        { "duplicates", duplicates }, { "false_not_run", countFalseNotRun(keyed.logFile, runs) },
        { "wrong_bodies", summary.wrongBodies }, { "unknown", summary.unknown + summary.lost }, { "ok", summary.ok },
        { "not_run", summary.notRun }, { "added_p50", keyedSummary.quantile(0.5) - unkeyedSummary.quantile(0.5) },
        { "added_p99", keyedSummary.quantile(0.99) - unkeyedSummary.quantile(0.99) } };
    return printResult("claims", options, started, fields, { "duplicates", "false_not_run", "wrong_bodies" });
}

int benchDrain(const BenchOptions& options)
{
    auto started = now();
    MeshOptions meshOptions;
    meshOptions.nodes = 8;
    Mesh mesh(meshOptions);
    startServingMesh(mesh, "");
    int stops = options.quick ? 6 : 50;
    std::atomic<bool> ended { false };
    standins::LoadSummary total;
    auto running = std::async(std::launch::async, [&] {
        for (uint64_t seed = options.seed; !ended; ++seed) {
            auto calls = makeLoadOptions({ mesh.address("caller", 0), mesh.address("caller", 1) }, "/get", 200, 2);
            auto it = runLoad(calls, seed);
            total.sent += it.sent;
            total.ok += it.ok;
        }
    });
    std::vector<double> removalTimesMs;
    for (int i = 0; i < stops; ++i) {
        int node = 2 + i % 6;
        bool stopsNode = i % 2 == 1;
        std::string target = "t" + std::to_string(node);
        std::string process = stopsNode ? "node-" + std::to_string(node) : target;
        // Measures how long node 0 still chooses the target after the stop has begun.
        mesh.terminate(process);
        auto stopStarted = now();
        mesh.waitFor([&] {
            auto targets = mesh.nodeState(0).value("targets", json::array());
            for (const auto& it : targets) {
                if (it["target"] == target && it["state"] == SERVING_STATE)
                    return false;
            }
            return true;
        });
        removalTimesMs.push_back(std::chrono::duration<double, std::milli>(now() - stopStarted).count());
        mesh.waitForExit(process, Millis(20000));
        if (stopsNode)
            mesh.startNode(node);
        else
            mesh.startTarget({ target, "s", "v1", node, "" });
        mesh.waitFor([&] {
            for (const auto& it : mesh.nodeState(0).value("targets", json::array())) {
                if (it["target"] == target && it["state"] == SERVING_STATE)
                    return true;
            }
            return false;
        });
    }
    ended = true;
    running.get();
    json fields { { "stops", stops }, { "calls", total.sent }, { "lost", total.sent - total.ok },
        { "last_new_work_max", quantile(removalTimesMs, 1) } };
    return printResult("drain", options, started, fields, { "lost" });
}

} // namespace pomelowind::bench
