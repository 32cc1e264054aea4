#include "tests/support/CallerCrowd.h"

#include <arpa/inet.h>
#include <array>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pomelowind::tests {

namespace {

    constexpr int ANSWER_WAIT_MS = 2000;
    // Small, so that answers wait in the process and not in the caller's system.
    constexpr int RECEIVE_BUFFER_BYTES = 4096;

}

CallerCrowd::~CallerCrowd()
{
    for (int it : m_sockets)
        close(it);
}

void CallerCrowd::add(const std::string& bytes, bool waitsForAnswer)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER_BYTES, sizeof RECEIVE_BUFFER_BYTES);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(m_address.port);
    inet_pton(AF_INET, m_address.ip.c_str(), &to.sin_addr);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        close(fd);
        return;
    }
    m_sockets.push_back(fd);
    send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    pollfd answer { fd, POLLIN, 0 };
    if (waitsForAnswer)
        poll(&answer, 1, ANSWER_WAIT_MS);
}

void CallerCrowd::readSome(size_t bytes)
{
    std::string buf(bytes, ' ');
    for (int it : m_sockets)
        recv(it, buf.data(), buf.size(), MSG_DONTWAIT);
}

void CallerCrowd::sendOnAll(const std::string& bytes)
{
    for (int it : m_sockets)
        send(it, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

LoweredDescriptorLimit::LoweredDescriptorLimit(size_t descriptors)
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    m_former = limit.rlim_cur;
    limit.rlim_cur = descriptors;
    setrlimit(RLIMIT_NOFILE, &limit);
}

LoweredDescriptorLimit::~LoweredDescriptorLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = m_former;
    setrlimit(RLIMIT_NOFILE, &limit);
}

double peakMemoryMb(int pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with("VmHWM:"))
            return std::atof(line.c_str() + 6) / 1024;
    }
    return -1;
}

int openDescriptors(int pid)
{
    std::error_code ec;
    int n = 0;
    std::filesystem::directory_iterator it("/proc/" + std::to_string(pid) + "/fd", ec);
    for (; !ec && it != std::filesystem::directory_iterator(); it.increment(ec))
        ++n;
    return ec ? -1 : n;
}

} // namespace pomelowind::tests
