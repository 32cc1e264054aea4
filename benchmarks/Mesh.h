// A mesh of real processes on loopback addresses, behind fault proxies, for integration tests, benchmarks and campaign.
// Each mesh has loopback addresses of its own, so several can run side by side. It ends only what it started, by id.
#pragma once

#include "pomelowind/base/Duty.h"
#include "pomelowind/base/Settings.h"
#include "pomelowind/http/HttpMessage.h"
#include "standins/FaultProxy.h"
#include "standins/Load.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pomelowind::bench {

struct MeshOptions {
    int controls { 3 };
    int dataCentres { 4 };
    int nodes { 8 };
    int slots { 12 };
    int serviceMs { 4 };
    std::string nodeExtra; // further lines of each node's settings
    std::string controlExtra;
    std::string meshKey { "mesh-key-for-tests-0123456789" };
};

// A target to start.
struct TargetSpec {
    std::string name;
    std::string service;
    std::string version { "v1" };
    int node { 0 };
    std::string extra; // further lines of its settings
};

class Mesh {
public:
    explicit Mesh(MeshOptions options);
    ~Mesh();

    void startControl(int i, bool bootstrap = true);
    void startNode(int i);
    void startTarget(const TargetSpec& spec);
    // Starts all control hosts and nodes.
    void startAll();

    // Names of processes: "control-0", "node-3", or a target's name.
    void kill(const std::string& process); // SIGKILL, and waits
    void terminate(const std::string& process); // SIGTERM only
    int wait(const std::string& process, base::Millis limit); // exit code, or -1
    bool isRunning(const std::string& process) const { return m_pids.count(process) > 0; }
    int pid(const std::string& process) const { return m_pids.at(process); }
    void wipeDisk(int control);
    // The key that processes started from now on hold.
    void setMeshKey(const std::string& key) { m_options.meshKey = key; }

    // One HTTP request; status 0 when there was no whole answer.
    http::HttpResponse send(
        const base::Address& to, http::HttpRequest request, base::Millis budget = base::Millis(6000));
    // A write to the operator API, tried at all control hosts; returns status and body.
    std::pair<int, nlohmann::json> submit(const std::string& method, const std::string& path, nlohmann::json body,
        int64_t base = 0, const std::string& requestId = "");
    nlohmann::json view(const std::string& path, int control = -1);
    nlohmann::json nodeState(int i);
    // Service `name`, template `t` and account `a` (host "a.example") with routes /get (GET), /post (POST, not
    // idempotent).
    void configure(const std::vector<std::string>& services);
    std::pair<int, nlohmann::json> startMove(const std::string& id, const std::string& service,
        const std::string& version, int64_t withinMs, int64_t watchMs);

    // True as soon as `condition` holds, false when `limit` has passed.
    bool waitFor(const std::function<bool()>& condition, base::Millis limit = base::Millis(20000));
    bool waitInForce(int nodes, base::Millis limit = base::Millis(20000));
    int leader();

    // Sets the fault of all proxied links whose name begins with `prefix`:
    // member/FROM/TO, feed/DATACENTRE/CONTROL, mesh/NODE, calls/NODE.
    void fault(const std::string& prefix, standins::ProxyFault fault);

    base::Address address(const std::string& kind, int i) const;
    std::vector<base::Address> callers() const;
    std::string dataCentreOf(int node) const { return "dc" + std::to_string(node % m_options.dataCentres); }
    const std::string& folder() const { return m_folder; }
    const MeshOptions& options() const { return m_options; }
    // How often each keyed request ran, from the targets' own logs.
    std::map<std::string, int> runsByKey() const;
    // A value of a process's /metrics; -1 when it cannot be read.
    double metric(const base::Address& address, const std::string& name);

private:
    void spawn(const std::string& name, const std::string& program, const std::string& settings,
        const std::vector<std::string>& arguments);
    std::string ip(int host) const;
    std::string proxied(const std::string& name, const base::Address& to);
    std::string write(const std::string& name, const std::string& content);

    MeshOptions m_options;
    std::string m_folder;
    int m_id;
    int m_nextProxy { 0 };
    int m_nextTarget { 0 };
    std::map<std::string, int> m_pids;
    std::map<std::string, std::string> m_proxyAddresses;
    base::Duty m_duty;
    std::vector<std::unique_ptr<standins::FaultProxy>> m_proxies;
};

// Runs a load to its end.
standins::LoadSummary runLoad(const standins::LoadOptions& options, uint64_t seed);
// Processor seconds that a process has used so far.
double processCpuSeconds(int pid);
double processRssMb(int pid);

} // namespace pomelowind::bench
