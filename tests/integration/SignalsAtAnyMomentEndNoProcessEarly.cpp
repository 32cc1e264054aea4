// Guards against a signal that ends a process while its main thread starts it, reloads its settings or stops it.

#include "benchmarks/Mesh.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <optional>
#include <set>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace pomelowind;
using base::Millis;
using bench::Mesh;
using bench::ProcessEnd;

namespace {

constexpr int SIGNALS[] = { SIGHUP, SIGTERM, SIGINT };
constexpr auto END_TIMEOUT = Millis(20000);
const ProcessEnd ENDED_BY_ITSELF { 0, 0 };

std::string processOfSignal(const char* program, size_t i) { return std::string(program) + "-" + std::to_string(i); }

// Replaces the settings file of a process by a pipe, so that the process waits while it reads its settings.
class HeldSettings {
public:
    HeldSettings(const Mesh& mesh, const std::string& process)
        : m_file(mesh.settingsFile(process))
    {
        std::ifstream in(m_file);
        std::stringstream content;
        content << in.rdbuf();
        m_content = content.str();
        std::filesystem::remove(m_file);
        EXPECT_EQ(mkfifo(m_file.c_str(), S_IRUSR | S_IWUSR), 0);
        // Otherwise a process that has ended would end the test with it.
        std::signal(SIGPIPE, SIG_IGN);
    }

    // Returns whether the process reads its settings. The opening fails until then.
    bool hasReader()
    {
        m_fd = open(m_file.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return m_fd >= 0;
    }

    // Lets the process read the settings that it had, now and from then on. Returns whether it was still reading.
    bool release()
    {
        std::ofstream(m_file + ".new") << m_content;
        std::filesystem::rename(m_file + ".new", m_file);
        bool isRead = write(m_fd, m_content.data(), m_content.size()) == static_cast<ssize_t>(m_content.size());
        close(m_fd);
        return isRead;
    }

private:
    std::string m_file;
    std::string m_content;
    int m_fd { -1 };
};

// Expects that the process takes `signal`: SIGHUP as one more reload, the others as the order to stop.
void expectTaken(Mesh& mesh, const std::string& process, int signal, int reloadsBefore)
{
    if (signal == SIGHUP) {
        EXPECT_TRUE(mesh.waitFor([&] { return mesh.countLogLines(process, "settings.reloaded") > reloadsBefore; }));
        mesh.terminate(process);
    }
    EXPECT_EQ(mesh.waitForEnd(process, END_TIMEOUT), ENDED_BY_ITSELF);
}

// Returns the ids of the threads of a process, but for the main thread, that do not block all of SIGNALS.
std::set<std::string> threadsThatTakeSignals(int pid)
{
    std::set<std::string> out;
    for (const auto& it : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task")) {
        std::ifstream status(it.path() / "status");
        std::string line;
        std::optional<uint64_t> blocked; // empty: the thread has ended meanwhile
        while (std::getline(status, line)) {
            if (line.rfind("SigBlk:", 0) == 0)
                blocked = std::strtoull(line.c_str() + std::strlen("SigBlk:"), nullptr, 16);
        }
        auto thread = it.path().filename().string();
        for (int signal : SIGNALS) {
            if (thread != std::to_string(pid) && blocked && !(*blocked >> (signal - 1) & 1))
                out.insert(thread);
        }
    }
    return out;
}

void startMesh(Mesh& mesh)
{
    mesh.startAll();
    mesh.createServices({ "s" });
    ASSERT_TRUE(mesh.waitUntilApplied(mesh.options().nodes));
}

}

TEST(SignalsAtAnyMomentEndNoProcessEarly, CallsThatRunDuringAPlannedStopAreAnswered)
{
    bench::MeshOptions options;
    options.nodes = 4;
    options.dataCentres = 1;
    options.serviceMs = 1500;
    Mesh mesh(options);
    mesh.startTarget({ "t3", "s", "v1", 3, "exponential: false\n" });
    startMesh(mesh);
    http::HttpRequest get { "GET", "/get", { { "Host", "a.example" } }, "", {} };
    ASSERT_TRUE(mesh.waitFor([&] { return mesh.send(mesh.address("caller", 3), get).status == 200; }));
    for (size_t i = 0; i < std::size(SIGNALS); ++i) {
        SCOPED_TRACE(strsignal(SIGNALS[i]));
        auto node = processOfSignal("node", i);
        auto callsBefore = mesh.metric(mesh.address("node-metrics", 3), "target_calls");
        auto call = std::async(
            std::launch::async, [&, to = mesh.address("caller", static_cast<int>(i))] { return mesh.send(to, get); });
        ASSERT_TRUE(
            mesh.waitFor([&] { return mesh.metric(mesh.address("node-metrics", 3), "target_calls") > callsBefore; }));
        mesh.terminate(node);
        ASSERT_TRUE(mesh.waitFor([&] { return mesh.countLogLines(node, "event=node.draining") == 1; }));
        mesh.sendSignal(node, SIGNALS[i]);
        EXPECT_EQ(call.get().status, 200);
        EXPECT_EQ(mesh.waitForEnd(node, END_TIMEOUT), ENDED_BY_ITSELF);
        EXPECT_EQ(mesh.countLogLines(node, "event=signal.ignored"), 1);
    }
}

TEST(SignalsAtAnyMomentEndNoProcessEarly, ControlHostsEndAPlannedStop)
{
    bench::MeshOptions options;
    options.nodes = 1;
    Mesh mesh(options);
    startMesh(mesh);
    for (size_t i = 0; i < std::size(SIGNALS); ++i) {
        SCOPED_TRACE(strsignal(SIGNALS[i]));
        auto control = processOfSignal("control", i);
        mesh.terminate(control);
        ASSERT_TRUE(mesh.waitFor([&] { return mesh.countLogLines(control, "event=control.draining") == 1; }));
        mesh.sendSignal(control, SIGNALS[i]);
        EXPECT_EQ(mesh.waitForEnd(control, END_TIMEOUT), ENDED_BY_ITSELF);
    }
}

TEST(SignalsAtAnyMomentEndNoProcessEarly, SignalsDuringAReloadAreTaken)
{
    bench::MeshOptions options;
    options.nodes = 3;
    options.extraNodeSettings = "drain_grace_ms: 500\n";
    Mesh mesh(options);
    startMesh(mesh);
    for (const char* program : { "node", "control" }) {
        for (size_t i = 0; i < std::size(SIGNALS); ++i) {
            auto process = processOfSignal(program, i);
            SCOPED_TRACE(process + " " + strsignal(SIGNALS[i]));
            HeldSettings settings(mesh, process);
            mesh.sendSignal(process, SIGHUP);
            ASSERT_TRUE(mesh.waitFor([&] { return settings.hasReader(); }));
            mesh.sendSignal(process, SIGNALS[i]);
            // A process that stops does not wait for its settings.
            EXPECT_TRUE(settings.release() || SIGNALS[i] != SIGHUP);
            expectTaken(mesh, process, SIGNALS[i], 1);
        }
    }
}

TEST(SignalsAtAnyMomentEndNoProcessEarly, SignalsDuringTheStartAreTakenAfterIt)
{
    bench::MeshOptions options;
    options.nodes = 3;
    options.extraNodeSettings = "drain_grace_ms: 500\n";
    Mesh mesh(options);
    startMesh(mesh);
    for (const char* program : { "node", "control" }) {
        for (size_t i = 0; i < std::size(SIGNALS); ++i) {
            auto process = processOfSignal(program, i);
            SCOPED_TRACE(process + " " + strsignal(SIGNALS[i]));
            mesh.kill(process);
            HeldSettings settings(mesh, process);
            mesh.startAgain(process);
            ASSERT_TRUE(mesh.waitFor([&] { return settings.hasReader(); }));
            mesh.sendSignal(process, SIGNALS[i]);
            EXPECT_TRUE(settings.release());
            expectTaken(mesh, process, SIGNALS[i], 0);
        }
    }
}

TEST(SignalsAtAnyMomentEndNoProcessEarly, NodesOfThePlatformsProtocolEndAPlannedStop)
{
    bench::MeshOptions options;
    options.nodes = 3;
    options.extraNodeSettings = "protocol: platform\ndrain_grace_ms: 500\n";
    Mesh mesh(options);
    mesh.startAll();
    for (size_t i = 0; i < std::size(SIGNALS); ++i) {
        SCOPED_TRACE(strsignal(SIGNALS[i]));
        auto node = processOfSignal("node", i);
        ASSERT_TRUE(mesh.waitFor([&] { return mesh.countLogLines(node, "event=node.started") == 1; }));
        mesh.terminate(node);
        ASSERT_TRUE(mesh.waitFor([&] { return mesh.countLogLines(node, "event=node.draining") == 1; }));
        mesh.sendSignal(node, SIGNALS[i]);
        EXPECT_EQ(mesh.waitForEnd(node, END_TIMEOUT), ENDED_BY_ITSELF);
    }
}

TEST(SignalsAtAnyMomentEndNoProcessEarly, OnlyTheMainThreadTakesSignals)
{
    bench::MeshOptions options;
    options.nodes = 1;
    Mesh mesh(options);
    mesh.startTarget({ "t0", "s", "v1", 0, "" });
    startMesh(mesh);
    for (const char* process : { "node-0", "control-0", "t0" })
        EXPECT_EQ(threadsThatTakeSignals(mesh.pid(process)), std::set<std::string>()) << process;
}
