// A mesh of real processes on loopback addresses, behind fault proxies, for integration tests, benchmarks and the fault
// campaign. Each mesh has its own loopback addresses, so several can run at the same time. It ends only processes that
// it started, by process id.
#pragma once

#include "pomelowind/base/EventLoopThread.h"
#include "pomelowind/base/Settings.h"
#include "pomelowind/http/HttpMessage.h"
#include "standins/FaultProxy.h"
#include "standins/LoadGenerator.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace pomelowind::bench {

// Size and settings of a mesh.
struct MeshOptions {
    int controlHosts { 3 };
    int dataCentres { 4 };
    int nodes { 8 };
    int slots { 12 }; // of each target
    int serviceMs { 4 }; // mean service time of each target
    std::string extraNodeSettings; // lines appended to each node's settings
    std::string extraControlSettings; // lines appended to each control host's settings
    std::string meshKey { "mesh-key-for-tests-0123456789" };
};

// A stand-in target to start.
struct TargetSpec {
    std::string name;
    std::string service;
    std::string version { "v1" };
    int node { 0 }; // the node that it announces itself to
    std::string extraSettings; // lines appended to its settings
};

// How a process ended: by itself with an exit code, or by a signal.
struct ProcessEnd {
    int exitCode { 0 }; // 0 if a signal ended it
    int signal { 0 }; // 0 if it ended by itself
    bool operator==(const ProcessEnd&) const = default;
};

// Prints how a process ended, for the messages of failed tests.
std::ostream& operator<<(std::ostream& out, const ProcessEnd& end);

// Starts, stops and observes the processes. The destructor kills the remaining ones and deletes the folder with their
// data and logs, unless POMELOWIND_KEEP_LOGS is set. Thread safety: send, nodeState, metric, address and setFault
// may be called from any thread; the other members must not run while another thread starts or ends a process.
class Mesh {
public:
    explicit Mesh(MeshOptions options);
    ~Mesh();

    void startControl(int i, bool bootstrap = true);
    void startNode(int i);
    void startTarget(const TargetSpec& spec);
    // Starts all control hosts and nodes.
    void startAll();
    // Starts a process again with the settings file and the arguments that it had. Precondition: it was started before
    // and has ended.
    void startAgain(const std::string& process);

    // Processes are named "control-0", "node-3", or a target's name.
    void kill(const std::string& process); // sends SIGKILL and waits for the end
    void terminate(const std::string& process); // sends SIGTERM and returns at once
    // Sends `signal` and returns at once.
    void sendSignal(const std::string& process, int signal);
    int waitForExit(const std::string& process, base::Millis limit); // exit code, or -1 after a timeout or a signal
    // Returns how the process ended, or nothing when it still runs after `limit`.
    std::optional<ProcessEnd> waitForEnd(const std::string& process, base::Millis limit);
    // Whether the process was started and none of kill, waitForExit and waitForEnd has seen its end.
    bool isRunning(const std::string& process) const { return m_pids.count(process) > 0; }
    int pid(const std::string& process) const { return m_pids.at(process); }
    // Deletes the data folder of a control host, which must not be running.
    void deleteDataFolder(int control);
    // Sets the mesh key of processes that are started from now on.
    void setMeshKey(const std::string& key) { m_options.meshKey = key; }

    // Sends one HTTP request and waits; status 0 when there was no complete answer within `budget`.
    http::HttpResponse send(
        const base::Address& to, http::HttpRequest request, base::Millis budget = base::Millis(6000));
    // Sends a write to the operator API and returns status and body. Tries the running control hosts in turn until one
    // answers with a status other than 503, for up to 15 s. `base` is the base version of the changed object, 0 for a
    // new one. Generates a request id when `requestId` is empty.
    std::pair<int, nlohmann::json> submit(const std::string& method, const std::string& path, nlohmann::json body,
        int64_t base = 0, const std::string& requestId = "");
    // Returns a request to the operator API with the token that may change everything. Thread safety: any thread.
    static http::HttpRequest operatorRequest(
        const std::string& method, const std::string& path, const std::string& body);
    // Returns the answer of control host `control` to a GET of `path` in the operator API; when `control` is negative,
    // the answer of the first running control host that answers with 200. An empty object when there is none.
    nlohmann::json readOperatorApi(const std::string& path, int control = -1);
    // The state that a node reports about itself; an empty object when it does not answer.
    nlohmann::json nodeState(int i);
    // Creates `services`, a template `t` and an account `a` (host "a.example"). Each service has the routes /get,
    // /other and /post (POST, not idempotent); the paths of all services but the first begin with /NAME.
    void createServices(const std::vector<std::string>& services);
    // Submits a move with a deadline `deadlineInMs` from now; returns status and body.
    std::pair<int, nlohmann::json> startMove(const std::string& id, const std::string& service,
        const std::string& version, int64_t deadlineInMs, int64_t watchMs);

    // Polls until `condition` returns true; returns false after `limit`.
    bool waitFor(const std::function<bool()>& condition, base::Millis limit = base::Millis(20000));
    // Waits until the control plane knows exactly `nodes` nodes and all of them have applied the latest version;
    // returns false after `limit`.
    bool waitUntilApplied(int nodes, base::Millis limit = base::Millis(20000));
    // Waits for a leader and returns its index, or -1 after 20 s.
    int leader();

    // Sets the fault of all proxied links whose name begins with `prefix`. Links are named member/FROM/TO,
    // feed/DATACENTRE/CONTROL, mesh/NODE and calls/NODE.
    void setFault(const std::string& prefix, standins::ProxyFault fault);

    // The address of host `i`; `kind` is one of control, operator, control-metrics, caller, mesh, calls, announce,
    // node-metrics, target and target-metrics.
    base::Address address(const std::string& kind, int i) const;
    // The caller addresses of all nodes.
    std::vector<base::Address> callerAddresses() const;
    std::string dataCentreOf(int node) const { return "dc" + std::to_string(node % m_options.dataCentres); }
    const std::string& folder() const { return m_folder; }
    // The settings file of a process that was started.
    std::string settingsFile(const std::string& process) const { return m_folder + "/" + process + ".yaml"; }
    // Returns how many of the lines that a process has logged contain `text`.
    int countLogLines(const std::string& process, const std::string& text) const;
    const MeshOptions& options() const { return m_options; }
    // Returns how often each keyed request ran, from the logs of the targets.
    std::map<std::string, int> runCountsByKey() const { return runCounts("runs.txt"); }
    // Returns the same from another log in folder(), which targets write if their settings name it.
    std::map<std::string, int> runCounts(const std::string& log) const;
    // Reads a value without labels from a process's /metrics; -1 when it cannot be read.
    double metric(const base::Address& address, const std::string& name);

private:
    // Starts `program` with the settings file of process `name`.
    void spawn(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);
    std::string ip(int host) const;
    // Returns the address of the fault proxy in front of `to`; starts the proxy on first use of `name`.
    std::string proxyAddressFor(const std::string& name, const base::Address& to);
    void writeSettingsFile(const std::string& name, const std::string& content) const;

    MeshOptions m_options;
    std::string m_folder;
    int m_id; // selects the loopback addresses
    int m_nextProxy { 0 };
    int m_nextTarget { 0 };
    std::map<std::string, int> m_pids;
    std::map<std::string, std::vector<std::string>> m_commands; // program and arguments of each process, by its name
    std::map<std::string, std::string> m_proxyAddresses;
    base::EventLoopThread m_proxiesLoop;
    std::vector<std::unique_ptr<standins::FaultProxy>> m_proxies;
};

// Runs a load to its end and returns its summary.
standins::LoadSummary runLoad(const standins::LoadOptions& options, uint64_t seed);
// Returns the CPU time that a process has used so far.
double processCpuSeconds(int pid);
// Returns the resident set size of a process, in MiB.
double processRssMb(int pid);

} // namespace pomelowind::bench
