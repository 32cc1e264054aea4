// Guards against a process that no stop signal reaches while its settings file cannot be read to the end.

#include "benchmarks/Mesh.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace pomelowind;
using base::Millis;
using bench::Mesh;
using bench::ProcessEnd;

namespace {

constexpr auto END_TIMEOUT = Millis(20000);

// A pipe in place of a settings file. Whoever reads it waits, because the test holds it open and writes nothing.
class BlockedFile {
public:
    explicit BlockedFile(std::string file)
        : m_file(std::move(file))
    {
        std::filesystem::remove(m_file);
        EXPECT_EQ(mkfifo(m_file.c_str(), S_IRUSR | S_IWUSR), 0);
    }

    ~BlockedFile()
    {
        if (m_fd >= 0)
            close(m_fd);
    }

    BlockedFile(const BlockedFile&) = delete;
    BlockedFile& operator=(const BlockedFile&) = delete;

    // Returns whether a process has the file open. The opening fails until then.
    bool hasReader()
    {
        m_fd = open(m_file.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return m_fd >= 0;
    }

private:
    std::string m_file;
    int m_fd { -1 };
};

std::string programFile(const std::string& name)
{
    return (std::filesystem::canonical("/proc/self/exe").parent_path() / name).string();
}

// Starts a program with the signal mask and the dispositions of a process that a supervisor starts.
pid_t startProgram(const std::string& name, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), programFile(name));
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (auto& it : arguments)
        argv.push_back(it.data());
    argv.push_back(nullptr);
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
    EXPECT_EQ(posix_spawn(&pid, argv[0], nullptr, &attributes, argv.data(), environ), 0);
    posix_spawnattr_destroy(&attributes);
    return pid;
}

// Returns whether `signal` is in the set `name` (SigBlk, SigIgn) of a thread's or a process's status file.
bool hasSignal(const std::filesystem::path& folder, const std::string& name, int signal)
{
    std::ifstream status(folder / "status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind(name + ":", 0) == 0)
            return std::strtoull(line.c_str() + name.size() + 1, nullptr, 16) >> (signal - 1) & 1;
    }
    return false;
}

}

TEST(SignalsArriveWhileSettingsAreRead, AReloadThatBlocksHoldsUpNoStop)
{
    bench::MeshOptions options;
    options.nodes = 1;
    Mesh mesh(options);
    mesh.startAll();
    for (const char* process : { "node-0", "control-0" }) {
        SCOPED_TRACE(process);
        ASSERT_TRUE(mesh.waitFor([&] { return mesh.countLogLines(process, ".started ") == 1; }));
        BlockedFile settings(mesh.settingsFile(process));
        mesh.sendSignal(process, SIGHUP);
        ASSERT_TRUE(mesh.waitFor([&] { return settings.hasReader(); }));
        mesh.terminate(process);
        EXPECT_TRUE(mesh.waitFor([&] { return mesh.countLogLines(process, ".draining ") == 1; }));
    }
}

TEST(SignalsArriveWhileSettingsAreRead, AStopSignalEndsTheCheckOfSettings)
{
    Mesh mesh({});
    for (const char* program :
        { "pomelowind-node", "pomelowind-control", "pomelowind-target", "pomelowind-fault-proxy" }) {
        SCOPED_TRACE(program);
        auto file = mesh.settingsFile("checked");
        BlockedFile settings(file);
        pid_t pid = startProgram(program, { "--settings=" + file, "--check_settings" });
        EXPECT_TRUE(mesh.waitFor([&] { return settings.hasReader(); }));
        kill(pid, SIGINT);
        bool ended = mesh.waitFor([&] { return waitpid(pid, nullptr, WNOHANG) == pid; }, END_TIMEOUT);
        EXPECT_TRUE(ended);
        if (!ended) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
    }
}

TEST(SignalsArriveWhileSettingsAreRead, ASignalDuringAStopIsLogged)
{
    bench::MeshOptions options;
    options.nodes = 1;
    Mesh mesh(options);
    mesh.startAll();
    for (const char* process : { "node-0", "control-0" }) {
        SCOPED_TRACE(process);
        ASSERT_TRUE(mesh.waitFor([&] { return mesh.countLogLines(process, ".started ") == 1; }));
        // Of two pending signals the lower one, SIGINT, is taken first; SIGTERM comes during the stop that it begins.
        // Both are pending at once only if the process has stopped before the first one is sent.
        mesh.sendSignal(process, SIGSTOP);
        int status = 0;
        ASSERT_EQ(waitpid(mesh.pid(process), &status, WUNTRACED), mesh.pid(process));
        ASSERT_TRUE(WIFSTOPPED(status));
        mesh.sendSignal(process, SIGTERM);
        mesh.sendSignal(process, SIGINT);
        mesh.sendSignal(process, SIGCONT);
        EXPECT_EQ(mesh.waitForEnd(process, END_TIMEOUT), (ProcessEnd { 0, 0 }));
        EXPECT_EQ(mesh.countLogLines(process, "event=signal.received signal=SIGINT"), 1);
        EXPECT_EQ(mesh.countLogLines(process, "event=signal.ignored signal=SIGTERM"), 1);
    }
}

TEST(SignalsArriveWhileSettingsAreRead, DaemonsSetTheirOwnMaskAndDispositions)
{
    Mesh mesh({});
    for (const char* program :
        { "pomelowind-node", "pomelowind-control", "pomelowind-target", "pomelowind-fault-proxy" }) {
        SCOPED_TRACE(program);
        auto file = mesh.settingsFile("started");
        BlockedFile settings(file);
        pid_t pid = startProgram(program, { "--settings=" + file });
        EXPECT_TRUE(mesh.waitFor([&] { return settings.hasReader(); }));
        auto folder = std::filesystem::path("/proc") / std::to_string(pid);
        for (int signal : { SIGTERM, SIGINT, SIGHUP })
            EXPECT_TRUE(hasSignal(folder, "SigBlk", signal)) << strsignal(signal);
        EXPECT_TRUE(hasSignal(folder, "SigIgn", SIGPIPE));
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
}
