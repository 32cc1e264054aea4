#include "benchmarks/Mesh.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Hash.h"
#include "pomelowind/http/HttpClient.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ; // NOLINT

namespace pomelowind::bench {

namespace {

    namespace fs = std::filesystem;
    using base::Millis;
    using nlohmann::json;

    constexpr int CONTROL_PORT = 7000;
    constexpr int NODE_PORT = 8000;
    constexpr int TARGET_PORT = 9000;
    constexpr int PROXY_PORT = 10000;
    constexpr auto POLL_PERIOD = std::chrono::milliseconds(20);
    constexpr char OPERATOR_TOKEN[] = "test-token";

    std::atomic<int> nextMesh { 0 };

    std::string executableFolder() { return fs::canonical("/proc/self/exe").parent_path().string(); }

}

Mesh::Mesh(MeshOptions options)
    : m_options(std::move(options))
    , m_id((getpid() * 7 + nextMesh++) % 60000)
    , m_proxiesLoop("proxies")
{
    m_folder = (fs::temp_directory_path() / ("pomelowind-" + std::to_string(getpid()) + "-" + std::to_string(m_id)))
                   .string();
    fs::remove_all(m_folder);
    fs::create_directories(m_folder);
    m_proxiesLoop.start();
}

Mesh::~Mesh()
{
    for (const auto& [name, pid] : m_pids)
        ::kill(pid, SIGKILL);
    for (const auto& [name, pid] : m_pids)
        waitpid(pid, nullptr, 0);
    m_proxiesLoop.stop();
    if (!std::getenv("POMELOWIND_KEEP_LOGS"))
        fs::remove_all(m_folder);
}

std::string Mesh::ip(int host) const
{
    return "127." + std::to_string(10 + m_id / 250) + "." + std::to_string(1 + m_id % 250) + "." + std::to_string(host);
}

base::Address Mesh::address(const std::string& kind, int i) const
{
    auto at = [&](int host, int port) { return base::Address { ip(host), static_cast<uint16_t>(port + i) }; };
    if (kind == "control")
        return at(1, CONTROL_PORT);
    if (kind == "operator")
        return at(2, CONTROL_PORT);
    if (kind == "control-metrics")
        return at(3, CONTROL_PORT);
    if (kind == "caller")
        return at(4, NODE_PORT);
    if (kind == "mesh")
        return at(5, NODE_PORT);
    if (kind == "calls")
        return at(6, NODE_PORT);
    if (kind == "announce")
        return at(7, NODE_PORT);
    if (kind == "node-metrics")
        return at(8, NODE_PORT);
    if (kind == "target")
        return at(9, TARGET_PORT);
    return at(10, TARGET_PORT);
}

std::vector<base::Address> Mesh::callerAddresses() const
{
    std::vector<base::Address> out;
    for (int i = 0; i < m_options.nodes; ++i)
        out.push_back(address("caller", i));
    return out;
}

std::string Mesh::proxyAddressFor(const std::string& name, const base::Address& to)
{
    auto& proxyAddress = m_proxyAddresses[name];
    if (!proxyAddress.empty())
        return proxyAddress;
    base::Address listen { ip(11), static_cast<uint16_t>(PROXY_PORT + m_nextProxy++) };
    std::promise<void> done;
    boost::asio::post(m_proxiesLoop.context(), [&] {
        m_proxies.push_back(std::make_unique<standins::FaultProxy>(
            m_proxiesLoop.context(), std::vector<standins::ProxyLink> { { name, listen, to } }));
        done.set_value();
    });
    done.get_future().wait();
    proxyAddress = listen.text();
    return proxyAddress;
}

void Mesh::setFault(const std::string& prefix, standins::ProxyFault fault)
{
    std::promise<void> done;
    boost::asio::post(m_proxiesLoop.context(), [&] {
        for (const auto& it : m_proxies)
            it->setFault(prefix, fault);
        done.set_value();
    });
    done.get_future().wait();
}

void Mesh::writeSettingsFile(const std::string& name, const std::string& content) const
{
    std::ofstream(settingsFile(name)) << content;
}

void Mesh::spawn(const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
{
    auto& command = m_commands[name];
    command = { executableFolder() + "/" + program, "--settings=" + settingsFile(name) };
    command.insert(command.end(), arguments.begin(), arguments.end());
    startAgain(name);
}

void Mesh::startAgain(const std::string& name)
{
    auto command = m_commands.at(name);
    const std::string path = command.front();
    std::vector<char*> argv;
    for (auto& it : command)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    std::string logFile = m_folder + "/" + name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // Otherwise the child would inherit the proxies' open sockets and keep them open after a proxy closes them.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    // As a supervisor starts it: signals that this process blocks or ignores are neither blocked nor ignored there.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigset_t all;
    sigemptyset(&none);
    sigfillset(&all);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setsigdefault(&attributes, &all);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
    pid_t pid = 0;
    int error = posix_spawn(&pid, path.c_str(), &actions, &attributes, argv.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error)
        throw base::InternalFault("cannot start " + path);
    m_pids[name] = pid;
}

void Mesh::startControl(int i, bool bootstrap)
{
    std::string id = std::to_string(i);
    std::ostringstream out;
    out << "mesh: test\nmesh_key: " << m_options.meshKey << "\nid: control-" << id << "\ndata_centre: dc"
        << i % m_options.dataCentres << "\nmesh_address: " << address("control", i).text()
        << "\noperator_address: " << address("operator", i).text()
        << "\nmetrics_address: " << address("control-metrics", i).text() << "\ndata_folder: " << m_folder << "/disk-"
        << id << "\nmembers:\n";
    for (int j = 0; j < m_options.controlHosts; ++j) {
        std::string to = i == j ? address("control", j).text()
                                : proxyAddressFor("member/" + id + "/" + std::to_string(j), address("control", j));
        out << "  - { id: control-" << j << ", address: \"" << to << "\" }\n";
    }
    out << "operators:\n  - { name: ana, team: all, token_sha256: " << base::sha256Hex(OPERATOR_TOKEN) << " }\n"
        << "  - { name: viv, team: viewers, token_sha256: " << base::sha256Hex("viewer") << " }\n"
        << "teams:\n  - { name: all, read: [\"*\"], change: [\"*\"], move: [\"*\"] }\n  - { name: viewers }\n"
        << m_options.extraControlSettings;
    writeSettingsFile("control-" + id, out.str());
    spawn("control-" + id, "pomelowind-control",
        bootstrap ? std::vector<std::string> { "--bootstrap" } : std::vector<std::string>());
}

void Mesh::startNode(int i)
{
    std::string id = std::to_string(i);
    std::string centre = dataCentreOf(i);
    std::ostringstream out;
    out << "mesh: test\nmesh_key: " << m_options.meshKey << "\nid: node-" << id << "\ndata_centre: " << centre
        << "\ncaller_address: " << address("caller", i).text() << "\nmesh_address: " << address("mesh", i).text()
        << "\ncall_address: " << address("calls", i).text() << "\nannounce_address: " << address("announce", i).text()
        << "\nmetrics_address: " << address("node-metrics", i).text()
        << "\nmesh_advertised: " << proxyAddressFor("mesh/" + id, address("mesh", i))
        << "\ncall_advertised: " << proxyAddressFor("calls/" + id, address("calls", i))
        << "\ncold_start_ms: 200\nseeds: [";
    int seeds = 0;
    for (int j = i % m_options.dataCentres; j < m_options.nodes && seeds < 3; j += m_options.dataCentres) {
        if (j != i)
            out << (seeds++ ? ", " : "") << "\"" << proxyAddressFor("mesh/" + std::to_string(j), address("mesh", j))
                << "\"";
    }
    out << "]\ncontrol:\n";
    for (int j = 0; j < m_options.controlHosts; ++j)
        out << "  - { id: control-" << j << ", data_centre: dc" << j % m_options.dataCentres << ", address: \""
            << proxyAddressFor("feed/" + centre + "/" + std::to_string(j), address("control", j)) << "\" }\n";
    out << m_options.extraNodeSettings;
    writeSettingsFile("node-" + id, out.str());
    spawn("node-" + id, "pomelowind-node", {});
}

void Mesh::startTarget(const TargetSpec& spec)
{
    int i = m_nextTarget++;
    std::ostringstream out;
    out << "id: " << spec.name << "\nservice: " << spec.service << "\nversion: " << spec.version
        << "\naddress: " << address("target", i).text() << "\nmetrics_address: " << address("target-metrics", i).text()
        << "\nannounce: " << address("announce", spec.node).text() << "\nslots: " << m_options.slots
        << "\nservice_ms: " << m_options.serviceMs << "\nruns_log: " << m_folder << "/runs.txt\n"
        << spec.extraSettings;
    writeSettingsFile(spec.name, out.str());
    spawn(spec.name, "pomelowind-target", { "--seed=" + std::to_string(i + 1) });
}

void Mesh::startAll()
{
    for (int i = 0; i < m_options.controlHosts; ++i)
        startControl(i);
    for (int i = 0; i < m_options.nodes; ++i)
        startNode(i);
}

void Mesh::kill(const std::string& process)
{
    auto it = m_pids.find(process);
    if (it == m_pids.end())
        return;
    ::kill(it->second, SIGKILL);
    waitpid(it->second, nullptr, 0);
    m_pids.erase(it);
}

void Mesh::sendSignal(const std::string& process, int signal) { ::kill(m_pids.at(process), signal); }

void Mesh::terminate(const std::string& process) { sendSignal(process, SIGTERM); }

std::optional<ProcessEnd> Mesh::waitForEnd(const std::string& process, Millis limit)
{
    int status = -1;
    bool ended = waitFor([&] { return waitpid(m_pids.at(process), &status, WNOHANG) > 0; }, limit);
    if (!ended)
        return std::nullopt;
    m_pids.erase(process);
    return WIFEXITED(status) ? ProcessEnd { WEXITSTATUS(status), 0 } : ProcessEnd { 0, WTERMSIG(status) };
}

int Mesh::waitForExit(const std::string& process, Millis limit)
{
    auto end = waitForEnd(process, limit);
    return end && !end->signal ? end->exitCode : -1;
}

std::ostream& operator<<(std::ostream& out, const ProcessEnd& end)
{
    if (end.signal)
        return out << "ended by signal " << end.signal;
    return out << "exit code " << end.exitCode;
}

int Mesh::countLogLines(const std::string& process, const std::string& text) const
{
    std::ifstream in(m_folder + "/" + process + ".log");
    std::string line;
    int n = 0;
    while (std::getline(in, line))
        n += line.find(text) != line.npos ? 1 : 0;
    return n;
}

void Mesh::deleteDataFolder(int control) { fs::remove_all(m_folder + "/disk-" + std::to_string(control)); }

http::HttpResponse Mesh::send(const base::Address& to, http::HttpRequest request, Millis budget)
{
    boost::asio::io_context io;
    auto client = http::makeHttpClient(io, to, { 1 });
    http::HttpResponse out;
    out.status = 0;
    client->request(std::move(request), budget, [&](const http::ExchangeResult& result) {
        if (result.end == http::ExchangeEnd::Answered)
            out = result.response;
        client->close();
    });
    io.run();
    return out;
}

std::pair<int, json> Mesh::submit(
    const std::string& method, const std::string& path, json body, int64_t base, const std::string& requestId)
{
    body["request_id"] = requestId.empty() ? base::makeUuidV7(base::SystemClock().wallMs()) : requestId;
    body["base_version"] = base;
    std::pair<int, json> out { 0, {} };
    waitFor(
        [&] {
            for (int i = 0; i < m_options.controlHosts; ++i) {
                if (!isRunning("control-" + std::to_string(i)))
                    continue;
                auto to = address("operator", i);
                auto response = send(to,
                    { method, path,
                        { { "Host", to.text() }, { "Authorization", std::string("Bearer ") + OPERATOR_TOKEN } },
                        body.dump() });
                out = { response.status, json::parse(response.body, nullptr, false) };
                if (out.first && out.first != 503)
                    return true;
            }
            return false;
        },
        Millis(15000));
    return out;
}

http::HttpRequest Mesh::operatorRequest(const std::string& method, const std::string& path, const std::string& body)
{
    return { method, path, { { "Host", "operator" }, { "Authorization", std::string("Bearer ") + OPERATOR_TOKEN } },
        body };
}

json Mesh::readOperatorApi(const std::string& path, int control)
{
    for (int i = 0; i < m_options.controlHosts; ++i) {
        if ((control >= 0 && i != control) || !isRunning("control-" + std::to_string(i)))
            continue;
        auto to = address("operator", i);
        auto response = send(to,
            { "GET", path, { { "Host", to.text() }, { "Authorization", std::string("Bearer ") + OPERATOR_TOKEN } },
                "" },
            Millis(2000));
        if (response.status == 200)
            return json::parse(response.body, nullptr, false);
    }
    return json::object();
}

json Mesh::nodeState(int i)
{
    auto to = address("announce", i);
    auto response = send(to, { "GET", "/v1/node", { { "Host", to.text() } }, "" }, Millis(2000));
    return response.status == 200 ? json::parse(response.body, nullptr, false) : json::object();
}

void Mesh::createServices(const std::vector<std::string>& services)
{
    std::string routes;
    for (const auto& it : services) {
        submit("PUT", "/v1/services/" + it, { { "version", "v1" } });
        std::string prefix = it == services.front() ? "" : "/" + it;
        routes += "  - { host: \"${host}\", path: " + prefix + "/get, service: " + it + ", timeout_ms: 3000 }\n";
        routes += "  - { host: \"${host}\", path: " + prefix + "/other, service: " + it + ", timeout_ms: 3000 }\n";
        routes += "  - { host: \"${host}\", path: " + prefix + "/post, methods: [POST], service: " + it
            + ", timeout_ms: 3000, idempotent: false }\n";
    }
    std::string body = "name: t\nroutes:\n" + routes
        + "rate_per_second: \"100000\"\nburst: \"100000\"\nparameters:\n  - { name: host }\n  - { name: note, default: "
          "x }\n";
    submit("PUT", "/v1/templates/t", { { "body", body } });
    submit("PUT", "/v1/accounts/a", { { "template", "t" }, { "parameters", { { "host", "a.example" } } } });
}

std::pair<int, json> Mesh::startMove(const std::string& id, const std::string& service, const std::string& version,
    int64_t deadlineInMs, int64_t watchMs)
{
    auto base = readOperatorApi("/v1/services/" + service).value("base_version", int64_t { 0 });
    return submit("POST", "/v1/moves",
        { { "id", id }, { "service", service }, { "to_version", version },
            { "deadline_ms", base::SystemClock().wallMs() + deadlineInMs }, { "watch_ms", watchMs } },
        base);
}

bool Mesh::waitFor(const std::function<bool()>& condition, Millis limit)
{
    auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(POLL_PERIOD);
    }
    return true;
}

bool Mesh::waitUntilApplied(int nodes, Millis limit)
{
    return waitFor(
        [&] {
            auto status = readOperatorApi("/v1/status");
            return status.contains("version") && status["version"].get<int64_t>() > 0
                && status["nodes"]["known"] == nodes && status["nodes"]["in_force"] == nodes;
        },
        limit);
}

int Mesh::leader()
{
    int out = -1;
    waitFor([&] {
        for (int i = 0; i < m_options.controlHosts; ++i) {
            auto status = readOperatorApi("/v1/status", i);
            std::string name = "control-" + std::to_string(i);
            if (status.value("leader", "") == name && status.value("fresh", false)) {
                out = i;
                return true;
            }
        }
        return false;
    });
    return out;
}

double Mesh::metric(const base::Address& address, const std::string& name)
{
    auto response = send(address, { "GET", "/metrics", { { "Host", address.text() } }, "" }, Millis(2000));
    auto at = response.body.find("\npomelowind_" + name + " ");
    // The 13 other characters before the value are the line feed, the prefix and the space.
    return at == std::string::npos ? -1 : std::atof(response.body.c_str() + at + name.size() + 13);
}

std::map<std::string, int> Mesh::runCounts(const std::string& log) const
{
    std::map<std::string, int> out;
    std::ifstream in(m_folder + "/" + log);
    std::string time;
    std::string key;
    std::string rest;
    while (in >> time >> key && std::getline(in, rest))
        ++out[key];
    return out;
}

standins::LoadSummary runLoad(const standins::LoadOptions& options, uint64_t seed)
{
    boost::asio::io_context io;
    standins::LoadGenerator generator(io, options, seed);
    generator.run([&] { io.stop(); });
    io.run();
    return generator.summary();
}

double processCpuSeconds(int pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(in, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    double ticks = 0;
    // The text begins with field 3 of proc(5) stat; fields 14 and 15 are the user and system time.
    for (int i = 0; i < 13 && fields >> field; ++i) {
        if (i >= 11)
            ticks += std::atof(field.c_str());
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double processRssMb(int pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    double pages = 0;
    double resident = 0;
    in >> pages >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

} // namespace pomelowind::bench
