// One caller's connection to an HttpServer.
#pragma once

#include "Pipeline.h"
#include "SlowCallers.h"
#include "pomelowind/base/Time.h"
#include "pomelowind/http/HttpServer.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

namespace pomelowind::http {

class Session;

// Gives sessions access to the state of their server.
class SessionOwner {
public:
    virtual ~SessionOwner() = default;
    virtual const HttpLimits& limits() const = 0;
    virtual HttpHandler& handler() = 0;
    virtual const base::MemoryBudgetPtr& bodyMemory() const = 0;
    virtual bool isDraining() const = 0;
    // Returns true once the grace period of a drain has ended; requests that still arrive are refused as not executed.
    virtual bool isRefusing() const = 0;
    virtual void onSessionClosed(const std::shared_ptr<Session>& session) = 0;
};

// Reads requests and writes their responses in the same order. Requests that may overlap are passed to the handler as
// they arrive; while another one is handled or waits, nothing behind it is read. Thread safety: confined to the
// server's event loop thread.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(boost::asio::ip::tcp::socket socket, SessionOwner& owner);

    void start();
    // Closes the connection when the time limit of reading, writing or waiting has passed. Handling has no limit: the
    // handler decides when to respond.
    void closeIfExpired(base::Instant now);
    // Closes the connection during a drain if it waits for a request and has no buffered input.
    void closeIfIdle();
    void close();
    // Returns what is held until this caller has taken the rest of its response or sent the rest of its request, and
    // how fast it does so; nothing when there is no such thing, or before the rate is known. To be called several times
    // per second.
    std::optional<HeldTransfer> heldTransfer(base::Instant now);
    // Returns since when the connection has had no complete head of a request and no request in progress.
    std::optional<base::Instant> idleSince() const;
    // The memory of the input that has not been parsed, most of it an incomplete head.
    size_t inputBytes() const { return m_buffer.capacity(); }

    void respond(HttpResponse response, uint64_t requestNumber);
    void respondCut(HttpResponse response, size_t declaredBytes, uint64_t requestNumber);
    void onCancel(std::function<void()> callback, uint64_t requestNumber);

private:
    using ErrorCode = boost::beast::error_code;
    // Waiting: for the first byte of a request. Watching: only for the end of the connection, while no request may be
    // read. HasInput: as Watching, but there is unread input, behind which the end cannot be noticed.
    enum class Reader { Off, Waiting, Reading, Watching, HasInput };

    void readNext();
    void waitForInput();
    void onInput();
    void readHead();
    void onHeadRead(ErrorCode ec, size_t n);
    void readBody();
    void onBodyPartRead(ErrorCode ec);
    void onRequestRead(ErrorCode ec);
    void handleNext();
    void handle(PipelinedRequest& request);
    void refuseMalformed(ErrorCode ec);
    void refuseOutOfMemory();
    void refuse(int status, HttpHeaders headers, std::string body);
    static HttpResponse refusal(int status, HttpHeaders headers, std::string body);
    void refuseHandling(PipelinedRequest& request);

    void writeContinue();
    void writeNext();
    void writeSome();
    void prepareResponse(PipelinedRequest& request, bool keepAlive);
    void writeCut(PipelinedRequest& request);
    void onResponseWritten(ErrorCode ec);
    void shutdownAndLinger();
    void discardInput();

    boost::asio::ip::tcp::socket m_socket;
    SessionOwner& m_owner;
    Pipeline m_pipeline;

    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    base::MemoryReservation m_bodyReservation; // of the request that is being read
    size_t m_headBytes { 0 };
    bool m_headRead { false };
    TransferRate m_inputRate;
    Reader m_reader { Reader::Off };
    uint64_t m_waitNumber { 0 };
    bool m_waitPending { false };
    bool m_owesContinue { false }; // its caller waits for a 100 Continue before it sends the body
    base::Instant m_idleSince;
    base::Instant m_readDeadline;

    std::optional<boost::beast::http::response<boost::beast::http::string_body>> m_response;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::string_body>> m_serializer;
    std::string m_cutResponse;
    bool m_writing { false };
    bool m_closesAfterResponse { false }; // the response being written is the last one of the connection
    TransferRate m_outputRate;
    base::Instant m_writeDeadline; // until the caller takes more of the response

    std::array<char, 512> m_discardBuffer {};
    bool m_lingering { false };
    base::Instant m_lingerDeadline;
    bool m_closed { false };
};

} // namespace pomelowind::http
