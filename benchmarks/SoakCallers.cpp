#include "benchmarks/SoakCallers.h"

#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Time.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pomelowind::bench {

namespace {

    using base::Millis;

    // Several times the timeout of the routes and the grace period of a stop together.
    constexpr auto ANSWER_LIMIT = Millis(30000);
    constexpr auto RECONNECT_PAUSE = Millis(15);
    constexpr double NEW_CONNECTION_RATIO = 0.25;
    constexpr double SPLIT_RATIO = 0.1;
    constexpr uint64_t MAX_SPLIT_PAUSE_MS = 200;
    // Most callers send again soon; some leave the connection idle for about as long as a grace period.
    constexpr uint64_t MAX_PAUSE_MS = 60;
    constexpr uint64_t MAX_IDLE_MS = 2000;
    constexpr double IDLE_RATIO = 0.05;

    int64_t wallMs() { return base::SystemClock().wallMs(); }

    std::string serialize(const http::HttpRequest& request)
    {
        std::string out = request.method + " " + request.path + " HTTP/1.1\r\n";
        for (const auto& it : request.headers)
            out += it.name + ": " + it.value + "\r\n";
        return out + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    }

    // Parses `bytes` into `out`. Returns false while the response is incomplete.
    bool parseResponse(const std::string& bytes, http::HttpResponse& out)
    {
        auto headEnd = bytes.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return false;
        out = {};
        size_t lineEnd = bytes.find("\r\n");
        out.status = std::atoi(bytes.c_str() + bytes.find(' ') + 1);
        while (lineEnd < headEnd) {
            size_t begin = lineEnd + 2;
            lineEnd = bytes.find("\r\n", begin);
            size_t colon = bytes.find(": ", begin);
            out.headers.push_back({ bytes.substr(begin, colon - begin), bytes.substr(colon + 2, lineEnd - colon - 2) });
        }
        auto length
            = static_cast<size_t>(std::atoll(std::string(http::findHeader(out.headers, "Content-Length")).c_str()));
        out.body = bytes.substr(headEnd + 4);
        return out.body.size() >= length;
    }

}

bool CallerConnection::ensureOpen(const base::Address& to)
{
    if (m_socket >= 0) {
        char c = 0;
        if (recv(m_socket, &c, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return true;
        close();
    }
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
    if (::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        close();
        return false;
    }
    int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
}

void CallerConnection::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

bool CallerConnection::sendBytes(std::string_view bytes)
{
    while (!bytes.empty()) {
        ssize_t n = send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(n));
    }
    return true;
}

void CallerConnection::exchange(const http::HttpRequest& request, Millis pause, CallRecord& record)
{
    auto bytes = serialize(request);
    bool sent = true;
    if (pause > Millis(0)) {
        sent = sendBytes(std::string_view(bytes).substr(0, bytes.size() - 1));
        std::this_thread::sleep_for(pause);
        bytes.erase(0, bytes.size() - 1);
    }
    record.sentMs = wallMs();
    record.end = CallEnd::NotRead;
    if (sent && sendBytes(bytes))
        readResponse(record);
    record.endedMs = wallMs();
    bool isKept = record.end == CallEnd::Answered
        && !http::equalNames(http::findHeader(record.response.headers, "Connection"), "close");
    if (!isKept)
        close();
}

void CallerConnection::readResponse(CallRecord& record)
{
    std::string bytes;
    char buf[16384];
    pollfd event { m_socket, POLLIN, 0 };
    while (poll(&event, 1, static_cast<int>(ANSWER_LIMIT.count())) > 0) {
        ssize_t n = recv(m_socket, buf, sizeof buf, 0);
        if (n > 0) {
            bytes.append(buf, static_cast<size_t>(n));
            if (!parseResponse(bytes, record.response))
                continue;
            record.end = CallEnd::Answered;
            return;
        }
        record.partialResponse = !bytes.empty();
        // A process that closes a socket with unread input resets the connection, and so does the kernel when the
        // request arrives after the close. An end without a reset means that all bytes were read.
        int error = n < 0 ? errno : 0;
        socklen_t size = sizeof error;
        if (!error)
            getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error && !record.partialResponse)
            return;
        tcp_info info {};
        size = sizeof info;
        getsockopt(m_socket, IPPROTO_TCP, TCP_INFO, &info, &size);
        record.heldMs = static_cast<int>(info.tcpi_last_data_sent) - static_cast<int>(info.tcpi_last_ack_recv);
        record.end = CallEnd::Cut;
        return;
    }
    record.end = CallEnd::Silent;
}

SoakCaller::SoakCaller(SoakCallerOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_thread([this] { run(); })
{
}

SoakCaller::~SoakCaller() { stop(); }

std::vector<CallRecord> SoakCaller::stop()
{
    m_stopped = true;
    if (m_thread.joinable())
        m_thread.join();
    return std::move(m_records);
}

http::HttpRequest SoakCaller::drawRequest(CallRecord& record)
{
    record.id = base::makeUuidV7(wallMs());
    record.process = m_options.process;
    auto kind = m_random.uniformBelow(4);
    record.method = kind < 2 ? "GET" : "POST";
    record.path = m_options.services[m_random.uniformBelow(m_options.services.size())] + (kind < 2 ? "/get" : "/post");
    http::HttpRequest out { record.method, record.path, { { "Host", "a.example" }, { "X-Request-Id", record.id } },
        "" };
    if (kind >= 2)
        out.body = "body of " + record.id;
    if (kind == 3)
        out.headers.push_back({ "Idempotency-Key", record.id });
    return out;
}

void SoakCaller::run()
{
    CallerConnection connection;
    while (!m_stopped) {
        if (m_random.bernoulli(NEW_CONNECTION_RATIO))
            connection.close();
        if (!connection.ensureOpen(m_options.address)) {
            std::this_thread::sleep_for(RECONNECT_PAUSE);
            continue;
        }
        CallRecord record;
        auto request = drawRequest(record);
        bool isSplit = m_random.bernoulli(SPLIT_RATIO);
        Millis pause(static_cast<int64_t>(isSplit ? 1 + m_random.uniformBelow(MAX_SPLIT_PAUSE_MS) : 0));
        connection.exchange(request, pause, record);
        m_records.push_back(std::move(record));
        auto idleMs = m_random.uniformBelow(m_random.bernoulli(IDLE_RATIO) ? MAX_IDLE_MS : MAX_PAUSE_MS);
        std::this_thread::sleep_for(Millis(static_cast<int64_t>(idleMs)));
    }
}

} // namespace pomelowind::bench
