#include "pomelowind/http/HttpServer.h"

#include "ParserLimits.h"
#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Isolation.h"
#include "pomelowind/base/Listener.h"
#include "pomelowind/base/Log.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <unordered_set>

namespace pomelowind::http {

namespace {

    namespace beast = boost::beast;
    using base::Instant;
    using boost::asio::ip::tcp;

    constexpr auto SWEEP_PERIOD = base::Millis(200);
    constexpr int STATUS_BAD_REQUEST = 400;
    constexpr int STATUS_INTERNAL_ERROR = 500;
    constexpr int STATUS_UNAVAILABLE = 503;
    constexpr auto LINGER_TIMEOUT = base::Millis(500);
    // Most requests are answered, and the memory of their bodies is released, within about this time.
    constexpr char MEMORY_RETRY_AFTER_S[] = "0.5";
    constexpr std::string_view CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n";

    Instant steadyNow() { return std::chrono::steady_clock::now(); }

    class Session;

    // Gives sessions access to the state of their server.
    class SessionOwner {
    public:
        virtual ~SessionOwner() = default;
        virtual const HttpLimits& limits() const = 0;
        virtual HttpHandler& handler() = 0;
        virtual const base::MemoryBudgetPtr& bodyMemory() const = 0;
        virtual bool isDraining() const = 0;
        // Returns true once the grace period of a drain has ended; requests that still arrive are refused as not
        // executed.
        virtual bool isRefusing() const = 0;
        virtual void onSessionClosed(const std::shared_ptr<Session>& session) = 0;
    };

    int statusOfReadError(beast::error_code ec)
    {
        if (ec == beast::http::error::body_limit)
            return 413;
        if (ec == beast::http::error::header_limit || ec == beast::http::error::buffer_overflow)
            return 431;
        return 400;
    }

    // One caller's connection. Reads a request, passes it to the handler and writes the response before it reads the
    // next one. Pipelined requests wait in the buffer, so responses keep the order of the requests.
    class Session : public std::enable_shared_from_this<Session> {
    public:
        Session(tcp::socket socket, SessionOwner& owner)
            : m_socket(std::move(socket))
            , m_owner(owner)
            , m_buffer(MAX_UNPARSED_BYTES)
        {
        }

        void start()
        {
            beast::error_code ec;
            m_socket.set_option(tcp::no_delay(true), ec);
            waitForNextRequest();
        }

        // Closes the connection when the time limit of its current phase has passed. Handling has no limit: the handler
        // decides when to respond.
        void closeIfExpired(Instant now)
        {
            if (m_closed)
                return;
            if (m_phase == Phase::Handling)
                return;
            if (now >= m_phaseDeadline)
                close();
        }

        // Closes the connection during a drain if it waits for a request and has no buffered input.
        void closeIfIdle()
        {
            if (m_phase == Phase::Idle && !m_buffer.size())
                shutdownAndLinger();
        }

        void close()
        {
            if (m_closed)
                return;
            m_closed = true;
            beast::error_code ec;
            m_socket.close(ec);
            auto callback = std::move(m_onCancel);
            m_onCancel = nullptr;
            if (m_phase == Phase::Handling && callback)
                callback();
            m_owner.onSessionClosed(shared_from_this());
        }

        void respond(HttpResponse response, uint64_t requestNumber)
        {
            if (m_closed || requestNumber != m_requestNumber || m_phase != Phase::Handling)
                return;
            enterPhase(Phase::Writing, m_owner.limits().requestTimeout);
            m_onCancel = nullptr;
            m_keepAlive = m_keepAlive && !m_owner.isDraining();
            if (!base::runIsolated("http.response", [&] { prepareResponse(std::move(response)); }))
                return close();
            if (m_isHeadRequest)
                return writeHead();
            beast::http::async_write(m_socket, *m_response,
                [self = shared_from_this()](beast::error_code ec, size_t) { self->onResponseWritten(ec); });
        }

        void respondCut(const HttpResponse& response, size_t declaredBytes, uint64_t requestNumber)
        {
            if (m_closed || requestNumber != m_requestNumber || m_phase != Phase::Handling)
                return;
            enterPhase(Phase::Writing, m_owner.limits().requestTimeout);
            m_cutResponse = "HTTP/1.1 " + std::to_string(response.status)
                + " OK\r\nContent-Length: " + std::to_string(declaredBytes) + "\r\n\r\n" + response.body;
            boost::asio::async_write(m_socket, boost::asio::buffer(m_cutResponse),
                [self = shared_from_this()](beast::error_code, size_t) { self->close(); });
        }

        void onCancel(std::function<void()> callback, uint64_t requestNumber)
        {
            if (requestNumber != m_requestNumber || m_phase != Phase::Handling)
                return;
            if (m_closed)
                return callback();
            m_onCancel = std::move(callback);
        }

    private:
        enum class Phase { Idle, Reading, Handling, Writing, Lingering };

        void enterPhase(Phase phase, base::Millis limit)
        {
            m_phase = phase;
            m_phaseDeadline = steadyNow() + limit;
        }

        // Throws std::exception for a response that HTTP forbids, for example a 204 with a body.
        void prepareResponse(HttpResponse response)
        {
            m_response.emplace(static_cast<beast::http::status>(response.status), m_version);
            for (const auto& it : response.headers)
                m_response->insert(it.name, it.value);
            m_response->keep_alive(m_keepAlive);
            m_response->body() = std::move(response.body);
            m_response->prepare_payload();
        }

        void waitForNextRequest()
        {
            m_parser.emplace();
            m_parser->header_limit(
                static_cast<uint32_t>(std::min(m_owner.limits().maxHeaderBytes, MAX_UNPARSED_BYTES)));
            m_parser->body_limit(m_owner.limits().maxBodyBytes);
            m_bodyReservation = base::MemoryReservation(m_owner.bodyMemory());
            if (m_buffer.size())
                return readRequest();
            enterPhase(Phase::Idle, m_owner.limits().idleTimeout);
            m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code ec) {
                if (ec || self->m_closed || self->m_phase != Phase::Idle)
                    return self->close();
                self->readRequest();
            });
        }

        void readRequest()
        {
            enterPhase(Phase::Reading, m_owner.limits().requestTimeout);
            beast::http::async_read_header(m_socket, m_buffer, *m_parser,
                [self = shared_from_this()](beast::error_code ec, size_t) { self->onHeaderRead(ec); });
        }

        void onHeaderRead(beast::error_code ec)
        {
            if (m_closed || ec || m_parser->is_done())
                return onRequestRead(ec);
            const auto contentLength = m_parser->content_length();
            if (contentLength && !m_bodyReservation.growTo(static_cast<size_t>(*contentLength)))
                return refuseOutOfMemory();
            bool expectsContinue = beast::iequals(m_parser->get()[beast::http::field::expect], "100-continue");
            if (!expectsContinue || m_buffer.size())
                return readBody();
            boost::asio::async_write(m_socket, boost::asio::buffer(CONTINUE_RESPONSE),
                [self = shared_from_this()](beast::error_code writeError, size_t) {
                    return writeError ? self->onRequestRead(writeError) : self->readBody();
                });
        }

        void readBody()
        {
            beast::http::async_read_some(
                m_socket, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code ec, size_t) {
                    if (self->m_closed || ec || self->m_parser->is_done())
                        return self->onRequestRead(ec);
                    // The length of a chunked body is known only as it arrives.
                    if (!self->m_bodyReservation.growTo(self->m_parser->get().body().size()))
                        return self->refuseOutOfMemory();
                    self->readBody();
                });
        }

        void onRequestRead(beast::error_code ec)
        {
            if (m_closed)
                return;
            if (ec == beast::http::error::end_of_stream
                || (ec && ec.category() == boost::asio::error::get_system_category()) || ec == boost::asio::error::eof
                || ec == beast::http::error::partial_message)
                return close();
            if (ec)
                return refuseMalformed(ec);
            auto message = m_parser->release();
            if (message.method() == beast::http::verb::trace && !message.body().empty())
                return respondAndClose(STATUS_BAD_REQUEST, {},
                    R"({"error":"invalid_input","message":"a TRACE request has a body","remedy":"send it without one"})");
            HttpRequest request;
            request.method = message.method_string();
            request.path = message.target();
            for (const auto& it : message) {
                // Not passed on: this server has sent 100 Continue itself, and the body has arrived.
                if (it.name() != beast::http::field::expect)
                    request.headers.push_back({ std::string(it.name_string()), std::string(it.value()) });
            }
            request.body = std::move(message.body());
            m_keepAlive = message.keep_alive();
            m_version = message.version();
            m_isHeadRequest = message.method() == beast::http::verb::head;
            dispatch(std::move(request));
        }

        void dispatch(HttpRequest request);

        // Responds to a malformed or oversized request and closes the connection, since the start of the next request
        // can no longer be determined.
        void refuseMalformed(beast::error_code ec)
        {
            respondAndClose(statusOfReadError(ec), {},
                R"({"error":"invalid_input","message":"request refused: )" + ec.message()
                    + R"(","remedy":"send a well-formed HTTP/1.1 request within the documented size limits"})");
        }

        void refuseOutOfMemory()
        {
            base::logRateLimited("http.no_memory",
                { { "target", m_parser->get().target() },
                    { "announced", static_cast<int64_t>(m_parser->content_length().value_or(0)) } });
            respondAndClose(STATUS_UNAVAILABLE, { { "Retry-After", MEMORY_RETRY_AFTER_S } },
                R"({"error":"unavailable","message":"no memory for the body now","remedy":"send it again later"})");
        }

        void respondAndClose(int status, HttpHeaders headers, std::string body)
        {
            enterPhase(Phase::Handling, m_owner.limits().requestTimeout);
            ++m_requestNumber;
            m_keepAlive = false;
            m_isHeadRequest = false;
            HttpResponse response;
            response.status = status;
            response.headers = std::move(headers);
            response.headers.push_back({ "Content-Type", "application/json" });
            response.headers.push_back({ "X-Pomelowind-Outcome", "not-run" });
            response.body = std::move(body);
            respond(std::move(response), m_requestNumber);
        }

        // Detects that the caller disconnects while its request is being handled: the socket becomes readable but has
        // no data.
        void watchForDisconnect()
        {
            m_socket.async_wait(tcp::socket::wait_read,
                [self = shared_from_this(), requestNumber = m_requestNumber](beast::error_code ec) {
                    if (ec || self->m_closed || requestNumber != self->m_requestNumber
                        || self->m_phase != Phase::Handling)
                        return;
                    char c = 0;
                    beast::error_code peekError;
                    self->m_socket.non_blocking(true, peekError);
                    size_t n = self->m_socket.receive(boost::asio::buffer(&c, 1), tcp::socket::message_peek, peekError);
                    if ((peekError && peekError != boost::asio::error::would_block) || (!peekError && !n))
                        self->close();
                });
        }

        void writeHead()
        {
            auto serializer = std::make_shared<beast::http::response_serializer<beast::http::string_body>>(*m_response);
            beast::http::async_write_header(m_socket, *serializer,
                [self = shared_from_this(), serializer](beast::error_code ec, size_t) { self->onResponseWritten(ec); });
        }

        void onResponseWritten(beast::error_code ec)
        {
            m_response.reset();
            m_bodyReservation.release();
            if (ec || m_closed)
                return close();
            if (!m_keepAlive)
                return shutdownAndLinger();
            waitForNextRequest();
        }

        // Closes the sending side and reads until the caller closes too. Closing with unread input would reset the
        // connection, and the caller could lose the response.
        void shutdownAndLinger()
        {
            enterPhase(Phase::Lingering, LINGER_TIMEOUT);
            beast::error_code ec;
            m_socket.shutdown(tcp::socket::shutdown_send, ec);
            discardInput();
        }

        void discardInput()
        {
            m_socket.async_read_some(
                boost::asio::buffer(m_discardBuffer), [self = shared_from_this()](beast::error_code ec, size_t) {
                    if (ec || self->m_closed)
                        return self->close();
                    self->discardInput();
                });
        }

        tcp::socket m_socket;
        SessionOwner& m_owner;
        beast::flat_buffer m_buffer;
        std::optional<beast::http::request_parser<beast::http::string_body>> m_parser;
        std::optional<beast::http::response<beast::http::string_body>> m_response;
        base::MemoryReservation m_bodyReservation;
        std::function<void()> m_onCancel;
        std::string m_cutResponse;
        std::array<char, 512> m_discardBuffer {};
        Phase m_phase { Phase::Idle };
        Instant m_phaseDeadline;
        uint64_t m_requestNumber { 0 };
        unsigned m_version { 11 };
        bool m_keepAlive { true };
        bool m_isHeadRequest { false };
        bool m_closed { false };
    };

    class SessionReply final : public HttpReply {
    public:
        SessionReply(std::shared_ptr<Session> session, uint64_t requestNumber)
            : m_session(std::move(session))
            , m_requestNumber(requestNumber)
        {
        }
        void send(HttpResponse response) override { m_session->respond(std::move(response), m_requestNumber); }
        void sendTruncated(HttpResponse response, size_t declaredBytes) override
        {
            m_session->respondCut(response, declaredBytes, m_requestNumber);
        }
        void onCancel(std::function<void()> callback) override
        {
            m_session->onCancel(std::move(callback), m_requestNumber);
        }

    private:
        std::shared_ptr<Session> m_session;
        uint64_t m_requestNumber;
    };

    void Session::dispatch(HttpRequest request)
    {
        if (m_owner.isRefusing())
            return respondAndClose(STATUS_UNAVAILABLE, { { "Retry-After", "0" } },
                R"({"error":"unavailable","message":"this process stops","remedy":"send it to another node"})");
        enterPhase(Phase::Handling, base::Millis(0));
        ++m_requestNumber;
        watchForDisconnect();
        auto requestNumber = m_requestNumber;
        auto reply = std::make_shared<SessionReply>(shared_from_this(), requestNumber);
        if (base::runIsolated("http.request", [&] { m_owner.handler().handle(std::move(request), reply); }))
            return;
        HttpResponse response;
        response.status = STATUS_INTERNAL_ERROR;
        response.headers = { { "Content-Type", "application/json" } };
        response.body = R"({"error":"internal","message":"the request failed here","remedy":"report it"})";
        respond(std::move(response), requestNumber);
    }

    class BeastServer final : public HttpServer, public SessionOwner {
    public:
        BeastServer(boost::asio::io_context& io, const base::Address& address, HttpLimits limits, HttpHandler& handler,
            base::MemoryBudgetPtr bodyMemory)
            : m_acceptor(io)
            , m_sweepTimer(io)
            , m_limits(limits)
            , m_handler(handler)
            , m_bodyMemory(std::move(bodyMemory))
        {
            base::listenOn(m_acceptor, address);
            accept();
            scheduleSweep();
        }

        void drain(base::Millis grace, std::function<void()> done) override
        {
            m_drainDeadline = steadyNow() + grace;
            m_onDrained = std::move(done);
        }

        void close() override
        {
            m_closing = true;
            beast::error_code ec;
            m_acceptor.close(ec);
            m_sweepTimer.cancel();
            auto sessions = m_sessions;
            for (const auto& it : sessions)
                it->close();
        }

        size_t connectionCount() const override { return m_sessions.size(); }
        void setLimits(HttpLimits limits) override { m_limits = limits; }

    private:
        const HttpLimits& limits() const override { return m_limits; }
        HttpHandler& handler() override { return m_handler; }
        const base::MemoryBudgetPtr& bodyMemory() const override { return m_bodyMemory; }
        bool isDraining() const override { return m_drainDeadline.has_value(); }
        bool isRefusing() const override { return m_drainDeadline && steadyNow() >= *m_drainDeadline; }
        void onSessionClosed(const std::shared_ptr<Session>& session) override { m_sessions.erase(session); }

        void accept()
        {
            m_acceptor.async_accept([this](beast::error_code ec, tcp::socket socket) {
                if (ec == boost::asio::error::operation_aborted || m_closing)
                    return;
                if (ec) {
                    m_acceptPaused = true;
                    return;
                }
                if (m_sessions.size() < m_limits.maxConnections) {
                    auto session = std::make_shared<Session>(std::move(socket), *this);
                    m_sessions.insert(session);
                    session->start();
                }
                accept();
            });
        }

        void scheduleSweep()
        {
            m_sweepTimer.expires_after(SWEEP_PERIOD);
            m_sweepTimer.async_wait([this](beast::error_code ec) {
                if (ec || m_closing)
                    return;
                sweep();
                scheduleSweep();
            });
        }

        void sweep()
        {
            auto now = steadyNow();
            auto sessions = m_sessions;
            for (const auto& it : sessions)
                it->closeIfExpired(now);
            if (m_acceptPaused) {
                m_acceptPaused = false;
                accept();
            }
            if (m_drainDeadline && m_onDrained)
                finishDrain(now, sessions);
        }

        void finishDrain(Instant now, const std::unordered_set<std::shared_ptr<Session>>& sessions)
        {
            if (now >= *m_drainDeadline) {
                beast::error_code closeError;
                m_acceptor.close(closeError);
                for (const auto& it : sessions)
                    it->closeIfIdle();
            }
            if (!m_sessions.empty() || now < *m_drainDeadline)
                return;
            beast::error_code ec;
            m_acceptor.close(ec);
            auto done = std::move(m_onDrained);
            m_onDrained = nullptr;
            done();
        }

        tcp::acceptor m_acceptor;
        boost::asio::steady_timer m_sweepTimer;
        HttpLimits m_limits;
        HttpHandler& m_handler;
        base::MemoryBudgetPtr m_bodyMemory;
        std::unordered_set<std::shared_ptr<Session>> m_sessions;
        std::optional<Instant> m_drainDeadline;
        std::function<void()> m_onDrained;
        bool m_acceptPaused { false };
        bool m_closing { false };
    };

}

std::unique_ptr<HttpServer> makeHttpServer(boost::asio::io_context& io, const base::Address& address, HttpLimits limits,
    HttpHandler& handler, base::MemoryBudgetPtr bodyMemory)
{
    return std::make_unique<BeastServer>(io, address, limits, handler, std::move(bodyMemory));
}

} // namespace pomelowind::http
