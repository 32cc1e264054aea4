// Callers of the soak: they use kept and new connections for as long as the process at the other end exists, and tell
// apart a connection that ended before the process had read the whole request from one that ended after that.
#pragma once

#include "pomelowind/base/Random.h"
#include "pomelowind/base/Settings.h"
#include "pomelowind/http/HttpMessage.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace pomelowind::bench {

// How one request ended, as its caller saw it.
enum class CallEnd {
    Answered, // a complete response arrived
    NotConnected, // the process does not listen; nothing was sent
    NotRead, // reset, or closed before the last byte was sent: the process had not read the whole request
    Cut, // closed without a complete response after the process had received the whole request
    Silent, // neither response nor end of the connection within ANSWER_LIMIT
};

// One request and how it ended.
struct CallRecord {
    std::string id; // X-Request-Id, and the Idempotency-Key of keyed requests
    std::string process; // to which it was sent
    std::string method;
    std::string path;
    CallEnd end { CallEnd::NotConnected };
    http::HttpResponse response; // if `end` is Answered
    bool partialResponse { false }; // some bytes of a response arrived before the connection ended
    int heldMs { 0 }; // if `end` is Cut: from the last byte sent to the end of the connection, by the kernel's clock
    int64_t sentMs { 0 }; // wall clock
    int64_t endedMs { 0 }; // wall clock
};

// A blocking HTTP/1.1 connection. Thread safety: confined to one thread.
class CallerConnection {
public:
    CallerConnection() = default;
    ~CallerConnection() { close(); }
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

    // Connects unless a connection is open that the other end has not closed. Returns false when nobody listens.
    bool ensureOpen(const base::Address& to);
    // Sends `request` and waits for its end; fills in all of `record` that concerns the end. When `pause` is above 0,
    // the last byte is sent that much later than the others. Closes the connection if the response asks for it.
    // Precondition: ensureOpen() has returned true.
    void exchange(const http::HttpRequest& request, base::Millis pause, CallRecord& record);
    void close();

private:
    bool sendBytes(std::string_view bytes);
    // Reads until `bytes` holds a complete response; sets record.end.
    void readResponse(CallRecord& record);

    int m_socket { -1 };
};

// What one caller sends, and to whom.
struct SoakCallerOptions {
    std::string process; // name of the node
    base::Address address;
    std::vector<std::string> services; // path prefixes of services, "" or "/NAME"
    uint64_t seed { 1 };
};

// A thread that sends one request at a time to one node until stop(). It draws kept or new connections, kinds of
// requests and pauses from its seed, and honours "Connection: close". Thread safety: confined to the creating thread.
class SoakCaller {
public:
    explicit SoakCaller(SoakCallerOptions options);
    ~SoakCaller();
    // Waits for the end of the request in flight and returns all records.
    std::vector<CallRecord> stop();

private:
    void run();
    http::HttpRequest drawRequest(CallRecord& record);

    SoakCallerOptions m_options;
    base::Random m_random;
    std::atomic<bool> m_stopped { false };
    std::vector<CallRecord> m_records;
    std::thread m_thread;
};

} // namespace pomelowind::bench
