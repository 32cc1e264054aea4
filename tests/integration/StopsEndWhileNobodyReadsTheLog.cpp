// Guards against a process that never exits after its stop because its log is not being read.

#include "benchmarks/Mesh.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

using namespace pomelowind;
using bench::Mesh;

namespace {

// A pipe that is full and that nobody reads.
class FullPipe {
public:
    FullPipe()
    {
        EXPECT_EQ(pipe2(m_ends, O_CLOEXEC | O_NONBLOCK), 0);
        const std::string bytes(fcntl(m_ends[1], F_GETPIPE_SZ), '\n');
        EXPECT_EQ(write(m_ends[1], bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
        fcntl(m_ends[1], F_SETFL, 0);
    }

    ~FullPipe()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }

    FullPipe(const FullPipe&) = delete;
    FullPipe& operator=(const FullPipe&) = delete;

    int writeEnd() const { return m_ends[1]; }

private:
    int m_ends[2] { -1, -1 };
};

}

TEST(StopsEndWhileNobodyReadsTheLog, AFaultProxyEndsAtAStopSignal)
{
    Mesh mesh({});
    FullPipe log;
    auto admin = mesh.address("control", 0);
    std::string settings = "--settings=" + mesh.settingsFile("proxy");
    std::ofstream(mesh.settingsFile("proxy"))
        << "admin_address: " << admin.text() << "\nmetrics_address: " << mesh.address("control-metrics", 0).text()
        << "\nlinks: []\n";
    std::string program
        = (std::filesystem::canonical("/proc/self/exe").parent_path() / "pomelowind-fault-proxy").string();
    char* argv[] = { program.data(), settings.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, log.writeEnd(), STDOUT_FILENO);
    pid_t pid = 0;
    ASSERT_EQ(posix_spawn(&pid, program.c_str(), &actions, nullptr, argv, environ), 0);
    posix_spawn_file_actions_destroy(&actions);
    EXPECT_TRUE(mesh.waitFor([&] { return mesh.send(admin, { "GET", "/", {}, "", {} }).status > 0; }));
    kill(pid, SIGTERM);
    bool ended = mesh.waitFor([&] { return waitpid(pid, nullptr, WNOHANG) == pid; });
    EXPECT_TRUE(ended);
    if (!ended) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
}
