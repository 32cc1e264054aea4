// The fault campaign: runs a mesh of real processes behind fault proxies, injects failures in a seeded order, and
// checks ten guarantees ("promises" in the output) against what callers, targets, nodes and operators observed:
//    1  the configuration version that a node serves never decreases
//    2  a node never serves a route without its service
//    3  all nodes that serve a version have the same state
//    4  a bad version receives less than a third of the calls of its move, and none after its rollback
//    5  a successful answer belongs to its request, which ran exactly once if it has a key
//    6  a request that was answered as not run did not run
//    7  a keyed request runs at most once
//    8  nodes stop choosing a draining target within a limit
//    9  a planned stop ends with exit code 0 and loses no call
//    10 an accepted change is applied everywhere within a limit and is not lost; of two concurrent changes with the
//       same base version exactly one is accepted; a resent change gets the same answer

#include "benchmarks/BenchOutput.h"
#include "benchmarks/Mesh.h"
#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Random.h"
#include "pomelowind/base/Wire.h"
#include "pomelowind/host/Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <atomic>
#include <csignal>
#include <fstream>
#include <future>
#include <mutex>
#include <sstream>
#include <thread>

ABSL_FLAG(uint64_t, seed, 1, "seed of the order of faults");
ABSL_FLAG(double, minutes, 1, "duration in minutes");
ABSL_FLAG(std::string, deployment, "lumentra", "lumentra or arrieta");
ABSL_FLAG(std::string, commit, "", "commit to print in the result");

using namespace pomelowind;
using base::Millis;
using nlohmann::json;

namespace {

constexpr int NODES = 12;
constexpr int LARGE_SERVICE_TARGETS = 8;
constexpr int GUARANTEES = 10;
constexpr auto NODE_CHECK_PERIOD = std::chrono::milliseconds(100);
constexpr double MAX_CONVERGENCE_MS = 6000;
constexpr int64_t ROLLBACK_GRACE_MS = 1500;
constexpr int64_t STOP_PROPAGATION_LIMIT_MS = 3000;
// The number that a node's state shows for a target that serves calls.
constexpr int SERVING_STATE = static_cast<int>(wire::TargetState::SERVING);

int64_t wallMs() { return base::SystemClock().wallMs(); }

// Counts the checks and violations of each guarantee and keeps the trace of the first violation. Thread-safe.
class GuaranteeChecks {
public:
    void check(int guarantee, bool holds, const std::string& trace)
    {
        std::lock_guard lock(m_mutex);
        auto& it = m_guarantees[guarantee - 1];
        ++it.checks;
        if (holds)
            return;
        ++it.violations;
        if (it.first.empty())
            it.first = trace;
    }

    json report()
    {
        std::lock_guard lock(m_mutex);
        json out = json::array();
        for (int i = 0; i < GUARANTEES; ++i)
            out.push_back({ { "promise", i + 1 }, { "checks", m_guarantees[i].checks },
                { "violations", m_guarantees[i].violations }, { "first", m_guarantees[i].first } });
        return out;
    }

    int violations()
    {
        std::lock_guard lock(m_mutex);
        int n = 0;
        for (const auto& it : m_guarantees)
            n += it.violations;
        return n;
    }

private:
    struct Guarantee {
        int checks { 0 };
        int violations { 0 };
        std::string first;
    };

    std::mutex m_mutex;
    std::array<Guarantee, GUARANTEES> m_guarantees;
};

// The wall clock time from `fromMs`, inclusive, to `toMs`, exclusive.
struct TimeWindow {
    int64_t fromMs;
    int64_t toMs;
};

// One run of the randomised fault campaign: starts its own mesh, injects faults and checks the guarantees.
class Campaign {
public:
    Campaign(uint64_t seed, double minutes, const std::string& deployment)
        : m_random(seed)
        , m_seconds(minutes * 60)
        , m_largeService(deployment == "arrieta" ? "pedidos" : "finder-app")
        , m_smallService(deployment == "arrieta" ? "taller" : "certs-svc")
        , m_mesh(makeMeshOptions(deployment))
    {
    }

    json run()
    {
        startMesh();
        auto calls
            = std::async(std::launch::async, [&] { return bench::runLoad(makeLoadOptions("/get", 150, false), 1); });
        auto keyed = std::async(std::launch::async,
            [&] { return bench::runLoad(makeLoadOptions("/" + m_smallService + "/post", 20, true), 2); });
        // These callers never resend, so every "not run" answer is the final outcome of its request and can be checked.
        auto onceLoad = makeLoadOptions("/" + m_largeService + "/post", 30, true);
        onceLoad.paths = { "/post" };
        onceLoad.maxResends = 0;
        onceLoad.logFile = m_mesh.folder() + "/once.txt";
        auto once = std::async(std::launch::async, [&] { return bench::runLoad(onceLoad, 3); });
        auto nodeChecks = std::async(std::launch::async, [&] { checkNodes(); });
        auto until
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(static_cast<int64_t>(m_seconds * 1000));
        while (std::chrono::steady_clock::now() < until)
            injectFault();
        removeFaults();
        auto callSummary = calls.get();
        auto keyedSummary = keyed.get();
        auto onceSummary = once.get();
        keyedSummary.wrongBodies += onceSummary.wrongBodies;
        m_stopped = true;
        nodeChecks.get();
        checkLogs(callSummary, keyedSummary);
        return report(callSummary);
    }

    int violations() { return m_checks.violations(); }

private:
    static bench::MeshOptions makeMeshOptions(const std::string& deployment)
    {
        bench::MeshOptions out;
        out.nodes = NODES;
        out.slots = deployment == "arrieta" ? 6 : 12;
        out.extraNodeSettings = "drain_grace_ms: 1000\n";
        return out;
    }

    bool runsLargeService(int node) const { return node < LARGE_SERVICE_TARGETS; }
    std::string serviceOf(int node) const { return runsLargeService(node) ? m_largeService : m_smallService; }

    standins::LoadOptions makeLoadOptions(const std::string& path, double rate, bool keyed)
    {
        standins::LoadOptions out;
        out.addresses = m_mesh.callerAddresses();
        out.hosts = { "a.example" };
        out.paths = { path };
        if (!keyed)
            out.paths.push_back("/other");
        out.method = keyed ? "POST" : "GET";
        out.keyed = keyed;
        out.maxResends = keyed ? 5 : 0;
        out.ratePerSecond = rate;
        out.seconds = m_seconds + 20;
        out.logFile = m_mesh.folder() + (keyed ? "/keyed.txt" : "/calls.txt");
        return out;
    }

    void startMesh()
    {
        m_mesh.startAll();
        for (int i = 0; i < NODES; ++i)
            m_mesh.startTarget({ "t" + std::to_string(i), serviceOf(i), "v1", i, "" });
        m_mesh.createServices({ m_largeService, m_smallService });
        if (!m_mesh.waitUntilApplied(NODES))
            throw base::InternalFault("the mesh did not start: not all nodes applied the configuration within 20 s; "
                                      "run with POMELOWIND_KEEP_LOGS=1 "
                                      "to keep the logs of the processes");
        m_mesh.waitFor([&] {
            auto key = base::makeUuidV7(wallMs());
            return m_mesh
                       .send(m_mesh.callerAddresses()[0],
                           { "POST", "/" + m_smallService + "/post",
                               { { "Host", "a.example" }, { "Idempotency-Key", key } }, "" })
                       .status
                == 200;
        });
        bench::printProgress("started a mesh of " + std::to_string(NODES) + " nodes");
    }

    // ---- checks during the whole run: versions, routes, states ----

    void checkNodes()
    {
        std::map<int, int64_t> highest;
        std::map<int64_t, std::string> hashOf;
        while (!m_stopped) {
            for (int i = 0; i < NODES; ++i) {
                auto state = m_mesh.nodeState(i);
                if (!state.value("serving", false))
                    continue;
                auto version = state.value("version", int64_t { 0 });
                auto hash = state.value("hash", std::string());
                std::string trace = "node " + std::to_string(i) + " version " + std::to_string(version);
                m_checks.check(1, version >= highest[i], trace + " after " + std::to_string(highest[i]));
                highest[i] = std::max(highest[i], version);
                m_checks.check(2, state.value("dangling_routes", 1) == 0, trace);
                auto [known, isNew] = hashOf.emplace(version, hash);
                m_checks.check(3, isNew || known->second == hash, trace + " hash " + hash + " not " + known->second);
            }
            std::this_thread::sleep_for(NODE_CHECK_PERIOD);
        }
    }

    // ---- faults ----

    void injectFault()
    {
        ++m_faultCount;
        auto kind = m_random.uniformBelow(12);
        bench::printProgress("injecting fault " + std::to_string(m_faultCount) + " of kind " + std::to_string(kind));
        switch (kind) {
        case 0:
            killLeader();
            break;
        case 1:
            restartControlWithEmptyDisk();
            break;
        case 2:
            restartHalfOfNodes();
            break;
        case 3:
            killTarget();
            break;
        case 4:
            disconnectDataCentre();
            break;
        case 5:
            stallControlHost();
            break;
        case 6:
        case 7:
            stopTargetGracefully();
            break;
        case 8:
            submitConcurrentChanges();
            break;
        case 9:
            restartNodeAcrossChanges();
            break;
        case 10:
            runMove(true);
            break;
        default:
            runMove(false);
            break;
        }
        submitChange();
    }

    // Submits a change and measures how long all nodes take to apply it.
    void submitChange()
    {
        auto base = m_mesh.readOperatorApi("/v1/accounts/a").value("base_version", int64_t { 0 });
        std::string note = "c" + std::to_string(++m_changeCount);
        auto [status, answer] = m_mesh.submit("PUT", "/v1/accounts/a", accountBody(note), base);
        if (status != 200)
            return;
        m_lastAcceptedNote = note;
        auto version = answer.value("version", int64_t { 0 });
        auto began = std::chrono::steady_clock::now();
        bool inForce = m_mesh.waitFor([&] { return allNodesAt(version); }, Millis(10000));
        double ms = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count();
        m_convergence.push_back(ms);
        m_checks.check(10, inForce && ms < MAX_CONVERGENCE_MS,
            "version " + std::to_string(version) + " in force after " + std::to_string(ms) + " ms");
    }

    bool allNodesAt(int64_t version)
    {
        for (int i = 0; i < NODES; ++i) {
            if (m_mesh.nodeState(i).value("version", int64_t { 0 }) < version)
                return false;
        }
        return true;
    }

    json accountBody(const std::string& note) const
    {
        return { { "template", "t" }, { "parameters", { { "host", "a.example" }, { "note", note } } } };
    }

    int pickBelow(int n) { return static_cast<int>(m_random.uniformBelow(static_cast<uint64_t>(n))); }

    void waitUntilControlCurrent(int host)
    {
        m_mesh.waitFor([&] {
            auto members = m_mesh.readOperatorApi("/v1/members", host);
            return !members.value("recovering", true)
                && m_mesh.readOperatorApi("/v1/status", host).value("fresh", false);
        });
    }

    void killLeader()
    {
        int leader = m_mesh.leader();
        if (leader < 0)
            return;
        m_mesh.kill("control-" + std::to_string(leader));
        submitChange();
        m_mesh.startControl(leader, false);
        waitUntilControlCurrent(leader);
    }

    void restartControlWithEmptyDisk()
    {
        int host = pickBelow(3);
        m_mesh.kill("control-" + std::to_string(host));
        m_mesh.deleteDataFolder(host);
        m_mesh.startControl(host, false);
        waitUntilControlCurrent(host);
        // A second control host loses its disk right after the first one has recovered.
        int second = (host + 1) % 3;
        m_mesh.kill("control-" + std::to_string(second));
        m_mesh.deleteDataFolder(second);
        m_mesh.startControl(second, false);
        waitUntilControlCurrent(second);
    }

    void restartHalfOfNodes()
    {
        int first = pickBelow(NODES);
        for (int i = 0; i < NODES / 2; ++i)
            m_mesh.kill("node-" + std::to_string((first + i) % NODES));
        for (int i = 0; i < NODES / 2; ++i)
            m_mesh.startNode((first + i) % NODES);
        m_mesh.waitUntilApplied(NODES);
    }

    std::string targetNameOf(int node) const
    {
        return m_currentTargets.count(node) ? m_currentTargets.at(node) : "t" + std::to_string(node);
    }

    void restartTarget(int node)
    {
        m_mesh.startTarget(
            { targetNameOf(node), serviceOf(node), runsLargeService(node) ? m_stableVersion : "v1", node, "" });
    }

    void killTarget()
    {
        int node = pickBelow(NODES);
        m_mesh.kill(targetNameOf(node));
        restartTarget(node);
    }

    void disconnectDataCentre()
    {
        int node = pickBelow(NODES);
        std::string prefix = "feed/" + m_mesh.dataCentreOf(node);
        m_mesh.setFault(prefix, { true, false, false, Millis(0) });
        m_mesh.kill("node-" + std::to_string(node));
        m_mesh.startNode(node);
        m_mesh.waitFor([&] { return m_mesh.nodeState(node).value("serving", false); }, Millis(8000));
        m_mesh.setFault(prefix, {});
        m_mesh.waitUntilApplied(NODES);
    }

    void stallControlHost()
    {
        std::string host = std::to_string(pickBelow(3));
        bool isOneWay = m_random.bernoulli(0.5);
        for (int i = 0; i < 3; ++i) {
            m_mesh.setFault("member/" + std::to_string(i) + "/" + host, { false, true, !isOneWay, Millis(0) });
            m_mesh.setFault("member/" + host + "/" + std::to_string(i), { false, !isOneWay, !isOneWay, Millis(0) });
        }
        submitChange();
        m_mesh.setFault("member/", {});
        waitUntilControlCurrent(host[0] - '0');
    }

    void stopTargetGracefully()
    {
        int node = pickBelow(NODES);
        std::string target = targetNameOf(node);
        int64_t from = wallMs();
        m_mesh.terminate(target);
        bool removed = m_mesh.waitFor([&] { return !servesAnywhere(target); }, Millis(STOP_PROPAGATION_LIMIT_MS));
        m_checks.check(8, removed, target + " still chosen after " + std::to_string(STOP_PROPAGATION_LIMIT_MS) + " ms");
        int code = m_mesh.waitForExit(target, Millis(20000));
        m_checks.check(9, code == 0, target + " ended with " + std::to_string(code));
        m_plannedStops.push_back({ from, wallMs() });
        restartTarget(node);
    }

    bool servesAnywhere(const std::string& target)
    {
        for (int i = 0; i < NODES; ++i) {
            for (const auto& it : m_mesh.nodeState(i).value("targets", json::array())) {
                if (it["target"] == target && it["state"] == SERVING_STATE)
                    return true;
            }
        }
        return false;
    }

    void submitConcurrentChanges()
    {
        auto base = m_mesh.readOperatorApi("/v1/accounts/a").value("base_version", int64_t { 0 });
        std::string id = "race-" + std::to_string(m_faultCount);
        auto put = [&](const std::string& note) {
            return m_mesh.submit("PUT", "/v1/accounts/a", accountBody(note), base, id + note);
        };
        auto other = std::async(std::launch::async, put, "left");
        auto right = put("right");
        auto left = other.get();
        m_checks.check(10, (left.first == 200) != (right.first == 200),
            "race of two: " + std::to_string(left.first) + " " + std::to_string(right.first));
        m_checks.check(10, put("left").second == left.second && put("right").second == right.second,
            "a resend got another answer");
    }

    void restartNodeAcrossChanges()
    {
        int node = pickBelow(NODES);
        m_mesh.kill("node-" + std::to_string(node));
        for (int i = 0; i < 100; ++i) {
            auto base = m_mesh.readOperatorApi("/v1/accounts/filler").value("base_version", int64_t { 0 });
            m_mesh.submit("PUT", "/v1/accounts/filler",
                { { "template", "t" }, { "parameters", { { "host", "f.example" }, { "note", std::to_string(i) } } } },
                base);
        }
        m_mesh.startNode(node);
        m_mesh.waitUntilApplied(NODES);
    }

    void runMove(bool good)
    {
        std::string version = "m" + std::to_string(++m_moveCount);
        std::string bad
            = "bad_kind: fail\nbad_rate: 0.3\n" + std::string(m_random.bernoulli(0.5) ? "bad_route: /other\n" : "");
        for (int i = 0; i < LARGE_SERVICE_TARGETS; ++i)
            m_mesh.startTarget({ version + "-" + std::to_string(i), m_largeService, version, i, good ? "" : bad });
        bool ready = m_mesh.waitFor([&] {
            int serving = 0;
            for (const auto& it : m_mesh.nodeState(0).value("targets", json::array()))
                serving += it["version"] == version && it["state"] == SERVING_STATE ? 1 : 0;
            return serving == LARGE_SERVICE_TARGETS;
        });
        int64_t from = wallMs();
        bool started = ready && m_mesh.startMove(version, m_largeService, version, 16000, 2000).first == 200;
        json status;
        m_mesh.waitFor(
            [&] {
                status = m_mesh.readOperatorApi("/v1/moves/" + version);
                std::string answer = status.value("answer", "");
                return !started || answer == "done" || answer == "taken back";
            },
            Millis(40000));
        if (!started)
            return stopVersion(version);
        std::string answer = status.value("answer", "");
        bench::printProgress("move to " + version + (good ? " (good): " : " (bad): ") + answer);
        if (good) {
            ++m_goodMoves;
            m_goodMovesOnTime += status.value("on_time", false) ? 1 : 0;
        } else {
            ++m_badMoves;
            m_badMovesRolledBack += answer == "taken back" ? 1 : 0;
            m_badVersions[version] = { from, status.value("ended_ms", wallMs()) + ROLLBACK_GRACE_MS };
        }
        if (answer != "done")
            return stopVersion(version);
        std::string old = m_stableVersion;
        m_stableVersion = version;
        for (int i = 0; i < LARGE_SERVICE_TARGETS; ++i) {
            std::string oldTarget = targetNameOf(i);
            m_currentTargets[i] = version + "-" + std::to_string(i);
            m_mesh.terminate(oldTarget);
            m_mesh.waitForExit(oldTarget, Millis(20000));
        }
    }

    void stopVersion(const std::string& version)
    {
        for (int i = 0; i < LARGE_SERVICE_TARGETS; ++i)
            m_mesh.terminate(version + "-" + std::to_string(i));
        for (int i = 0; i < LARGE_SERVICE_TARGETS; ++i)
            m_mesh.waitForExit(version + "-" + std::to_string(i), Millis(20000));
    }

    // Removes all faults. After that all nodes must apply the latest version, which must hold the last accepted change.
    void removeFaults()
    {
        m_mesh.setFault("", {});
        bool inForce = m_mesh.waitUntilApplied(NODES, Millis(20000));
        m_checks.check(10, inForce, "not in force on all nodes after the faults");
        auto note = m_mesh.readOperatorApi("/v1/accounts/a").value("parameters", json::object()).value("note", "");
        bool isFromRace = note == "left" || note == "right";
        m_checks.check(
            10, isFromRace || note == m_lastAcceptedNote, "accepted " + m_lastAcceptedNote + " became " + note);
    }

    // ---- checks after the run: logs of callers and targets ----

    struct CallLogLine {
        int64_t dueMs;
        std::string id;
        std::string verdict;
        std::string version;
    };

    std::vector<CallLogLine> readCallLog(const std::string& name) const
    {
        std::vector<CallLogLine> out;
        std::ifstream in(m_mesh.folder() + name);
        std::string line;
        while (std::getline(in, line)) {
            std::istringstream fields(line);
            CallLogLine it;
            std::string path;
            std::string status;
            std::string ms;
            fields >> it.dueMs >> it.id >> path >> it.verdict >> status >> ms >> it.version;
            out.push_back(it);
        }
        return out;
    }

    void checkLogs(const standins::LoadSummary& calls, const standins::LoadSummary& keyed)
    {
        m_checks.check(5, calls.wrongBodies + keyed.wrongBodies == 0,
            std::to_string(calls.wrongBodies + keyed.wrongBodies) + " wrong bodies");
        auto runs = m_mesh.runCountsByKey();
        for (const auto& [id, n] : runs)
            m_checks.check(7, n <= 1, id + " ran " + std::to_string(n) + " times");
        auto keyedCalls = readCallLog("/keyed.txt");
        for (const auto& it : readCallLog("/once.txt"))
            keyedCalls.push_back(it);
        for (const auto& it : keyedCalls) {
            if (it.verdict == "not-run")
                m_checks.check(6, runs[it.id] == 0, it.id + " was said not to have run");
            if (it.verdict == "ok")
                m_checks.check(
                    5, runs[it.id] == 1, it.id + " was answered, but ran " + std::to_string(runs[it.id]) + " times");
        }
        checkCalls(readCallLog("/calls.txt"));
    }

    void checkCalls(const std::vector<CallLogLine>& calls)
    {
        // By bad version: calls that it answered and all calls, while its move ran.
        std::map<std::string, std::pair<int, int>> exposure;
        for (const auto& it : calls) {
            for (const auto& stop : m_plannedStops) {
                if (it.dueMs >= stop.fromMs && it.dueMs < stop.toMs)
                    m_checks.check(9, it.verdict != "lost", it.id + " was cut off during a planned stop");
            }
            for (const auto& [version, window] : m_badVersions) {
                if (it.dueMs >= window.fromMs && it.dueMs < window.toMs) {
                    ++exposure[version].second;
                    exposure[version].first += it.version == version ? 1 : 0;
                }
                if (it.version == version)
                    m_checks.check(4, it.dueMs < window.toMs,
                        "bad version " + version + " answered at " + std::to_string(it.dueMs));
            }
        }
        for (const auto& [version, counts] : exposure)
            m_checks.check(4, counts.first * 3 < counts.second,
                "bad version " + version + " got " + std::to_string(counts.first) + " of "
                    + std::to_string(counts.second));
    }

    json report(const standins::LoadSummary& calls)
    {
        double bytes = 0;
        for (int i = 0; i < NODES; ++i)
            bytes += m_mesh.metric(m_mesh.address("node-metrics", i), "control_bytes_sent");
        return { { "minutes", m_seconds / 60 }, { "faults", m_faultCount }, { "promises", m_checks.report() },
            { "convergence_p99", bench::quantile(m_convergence, 0.99) }, { "control_bytes_per_node", bytes / NODES },
            { "good_on_time", m_goodMoves ? json(static_cast<double>(m_goodMovesOnTime) / m_goodMoves) : json() },
            { "bad_taken_back", m_badMoves ? json(static_cast<double>(m_badMovesRolledBack) / m_badMoves) : json() },
            { "good", m_goodMoves }, { "bad", m_badMoves }, { "calls", calls.sent }, { "calls_ok", calls.ok },
            { "violations", m_checks.violations() } };
    }

    base::Random m_random;
    double m_seconds;
    std::string m_largeService;
    std::string m_smallService;
    bench::Mesh m_mesh;
    GuaranteeChecks m_checks;
    std::atomic<bool> m_stopped { false };
    int m_faultCount { 0 };
    int m_changeCount { 0 };
    int m_moveCount { 0 };
    int m_goodMoves { 0 };
    int m_goodMovesOnTime { 0 };
    int m_badMoves { 0 };
    int m_badMovesRolledBack { 0 };
    std::string m_lastAcceptedNote;
    std::string m_stableVersion { "v1" };
    std::map<int, std::string> m_currentTargets;
    std::vector<double> m_convergence;
    std::vector<TimeWindow> m_plannedStops;
    std::map<std::string, TimeWindow> m_badVersions;
};

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("campaign --seed=N --minutes=M --deployment=lumentra|arrieta\nexit codes: 0 no "
                                 "violation, 1 at least one violation");
    absl::ParseCommandLine(argc, argv);
    return host::runProgram([] {
        std::signal(SIGPIPE, SIG_IGN);
        auto began = std::chrono::steady_clock::now();
        bench::BenchOptions options;
        options.seed = absl::GetFlag(FLAGS_seed);
        options.commit = absl::GetFlag(FLAGS_commit);
        Campaign campaign(options.seed, absl::GetFlag(FLAGS_minutes), absl::GetFlag(FLAGS_deployment));
        auto fields = campaign.run();
        fields["deployment"] = absl::GetFlag(FLAGS_deployment);
        return bench::printResult("campaign", options, began, fields, { "violations" });
    });
}
