#include "Session.h"

#include "ParserLimits.h"
#include "pomelowind/base/Isolation.h"
#include "pomelowind/base/Log.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace pomelowind::http {

namespace {

    namespace beast = boost::beast;
    using base::Instant;
    using boost::asio::ip::tcp;

    constexpr int STATUS_BAD_REQUEST = 400;
    constexpr int STATUS_INTERNAL_ERROR = 500;
    constexpr int STATUS_UNAVAILABLE = 503;
    constexpr auto LINGER_TIMEOUT = base::Millis(500);
    // Most requests are answered, and the memory of their bodies is released, within about this time.
    constexpr char MEMORY_RETRY_AFTER_S[] = "0.5";
    // Responses up to this size are always sent; refusals are among them, and they take little more memory than the
    // connection itself.
    constexpr size_t UNLIMITED_RESPONSE_BYTES = 4096;
    constexpr int STATUS_BAD_GATEWAY = 502;
    constexpr std::string_view CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n";

    Instant steadyNow() { return std::chrono::steady_clock::now(); }

    int statusOfReadError(beast::error_code ec)
    {
        if (ec == beast::http::error::body_limit)
            return 413;
        if (ec == beast::http::error::header_limit || ec == beast::http::error::buffer_overflow)
            return 431;
        return 400;
    }

    HttpResponse errorResponse(int status, const char* outcome, std::string body)
    {
        return { status, { { "Content-Type", "application/json" }, { "X-Pomelowind-Outcome", outcome } },
            std::move(body) };
    }

    bool isDisconnect(beast::error_code ec)
    {
        return ec == beast::http::error::end_of_stream
            || (ec && ec.category() == boost::asio::error::get_system_category()) || ec == boost::asio::error::eof
            || ec == beast::http::error::partial_message;
    }

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
            m_session->respondCut(std::move(response), declaredBytes, m_requestNumber);
        }
        void onCancel(std::function<void()> callback) override
        {
            m_session->onCancel(std::move(callback), m_requestNumber);
        }

    private:
        std::shared_ptr<Session> m_session;
        uint64_t m_requestNumber;
    };

}

Session::Session(tcp::socket socket, SessionOwner& owner)
    : m_socket(std::move(socket))
    , m_owner(owner)
    , m_buffer(MAX_UNPARSED_BYTES)
{
}

void Session::start()
{
    beast::error_code ec;
    m_socket.set_option(tcp::no_delay(true), ec);
    m_idleSince = steadyNow();
    readNext();
}

void Session::closeIfExpired(Instant now)
{
    if (m_closed)
        return;
    bool isWaitingForCaller = m_pipeline.empty() && !m_lingering;
    if ((m_lingering && now >= m_lingerDeadline) || (m_writing && now >= m_writeDeadline)
        || (isWaitingForCaller && m_reader == Reader::Reading && now >= m_readDeadline)
        || (isWaitingForCaller && m_reader == Reader::Waiting && now >= m_idleSince + m_owner.limits().idleTimeout))
        close();
}

void Session::closeIfIdle()
{
    if (!m_closed && !m_lingering && m_pipeline.empty() && m_reader == Reader::Waiting && !m_buffer.size())
        shutdownAndLinger();
}

void Session::close()
{
    if (m_closed)
        return;
    m_closed = true;
    beast::error_code ec;
    m_socket.close(ec);
    auto self = shared_from_this();
    m_owner.onSessionClosed(self);
    for (const auto& cancel : m_pipeline.takeCancellations())
        cancel();
}

std::optional<HeldTransfer> Session::heldTransfer(Instant now)
{
    bool isReading = m_reader == Reader::Reading && m_pipeline.empty();
    if (m_closed || (!m_writing && !isReading))
        return std::nullopt;
    auto rate = m_writing ? m_outputRate.bytesPerSecond(now) : m_inputRate.bytesPerSecond(now);
    if (!rate)
        return std::nullopt;
    return HeldTransfer { m_pipeline.reservedBytes() + m_bodyReservation.bytes() + inputBytes(), *rate };
}

std::optional<Instant> Session::idleSince() const
{
    bool hasRequest = !m_pipeline.empty() || (m_reader == Reader::Reading && m_headRead);
    return m_closed || hasRequest ? std::nullopt : std::optional(m_idleSince);
}

// ---- requests ----

// Goes on to the next request if it may be read; otherwise watches for the end of the connection.
void Session::readNext()
{
    if (m_closed || m_closesAfterResponse || m_reader == Reader::Waiting || m_reader == Reader::Reading)
        return;
    const auto& limits = m_owner.limits();
    // During a drain the connection ends with the responses to the requests that have been read.
    bool mayRead = m_pipeline.empty()
        || (!m_owner.isDraining() && m_pipeline.mayReadNext(limits.pipelineDepth, limits.pipelineBytes));
    if (mayRead && m_buffer.size())
        return readHead();
    if (!mayRead && m_reader != Reader::Off)
        return;
    m_reader = mayRead ? Reader::Waiting : Reader::Watching;
    if (!m_waitPending)
        waitForInput();
}

void Session::waitForInput()
{
    m_waitPending = true;
    m_socket.async_wait(
        tcp::socket::wait_read, [self = shared_from_this(), number = ++m_waitNumber](beast::error_code ec) {
            if (self->m_closed || number != self->m_waitNumber)
                return;
            self->m_waitPending = false;
            if (ec)
                return self->close();
            self->onInput();
        });
}

void Session::onInput()
{
    if (m_closesAfterResponse)
        return;
    if (m_reader == Reader::Waiting)
        return readHead();
    if (m_reader != Reader::Watching)
        return;
    m_reader = Reader::HasInput;
    char c = 0;
    beast::error_code ec;
    m_socket.non_blocking(true, ec);
    size_t n = m_socket.receive(boost::asio::buffer(&c, 1), tcp::socket::message_peek, ec);
    if ((ec && ec != boost::asio::error::would_block) || (!ec && !n))
        close();
}

void Session::readHead()
{
    m_reader = Reader::Reading;
    m_waitPending = false;
    ++m_waitNumber;
    const auto& limits = m_owner.limits();
    auto now = steadyNow();
    m_readDeadline = now + limits.requestTimeout;
    m_inputRate.start(now);
    m_headRead = false;
    m_parser.emplace();
    m_parser->header_limit(static_cast<uint32_t>(std::min(limits.maxHeaderBytes, MAX_UNPARSED_BYTES)));
    m_parser->body_limit(limits.maxBodyBytes);
    m_bodyReservation = base::MemoryReservation(m_owner.bodyMemory());
    beast::http::async_read_header(m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code ec, size_t n) { self->onHeadRead(ec, n); });
}

void Session::onHeadRead(beast::error_code ec, size_t n)
{
    m_headBytes = n;
    m_headRead = true;
    if (m_closed || m_closesAfterResponse || ec || m_parser->is_done())
        return onRequestRead(ec);
    const auto contentLength = m_parser->content_length();
    if (contentLength && !m_bodyReservation.growTo(static_cast<size_t>(*contentLength)))
        return refuseOutOfMemory();
    m_owesContinue = beast::iequals(m_parser->get()[beast::http::field::expect], "100-continue") && !m_buffer.size();
    if (m_owesContinue && m_pipeline.empty())
        writeContinue();
    readBody();
}

void Session::readBody()
{
    beast::http::async_read_some(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code ec, size_t n) {
            self->m_inputRate.add(n);
            self->onBodyPartRead(ec);
        });
}

void Session::onBodyPartRead(beast::error_code ec)
{
    m_owesContinue = false;
    if (m_closed || m_closesAfterResponse || ec || m_parser->is_done())
        return onRequestRead(ec);
    // The length of a chunked body is known only as it arrives.
    if (!m_bodyReservation.growTo(m_parser->get().body().capacity()))
        return refuseOutOfMemory();
    readBody();
}

void Session::onRequestRead(beast::error_code ec)
{
    if (m_closed || m_closesAfterResponse)
        return;
    if (isDisconnect(ec))
        return close();
    if (ec)
        return refuseMalformed(ec);
    auto message = m_parser->release();
    if (message.method() == beast::http::verb::trace && !message.body().empty())
        return refuse(STATUS_BAD_REQUEST, {},
            R"({"error":"invalid_input","message":"a TRACE request has a body","remedy":"send it without one"})");
    PipelinedRequest entry;
    auto& request = entry.request;
    request.method = message.method_string();
    request.path = message.target();
    for (const auto& it : message) {
        // Not passed on: this server has sent 100 Continue itself, and the body has arrived.
        if (it.name() != beast::http::field::expect)
            request.headers.push_back({ std::string(it.name_string()), std::string(it.value()) });
    }
    request.body = std::move(message.body());
    entry.keepAlive = message.keep_alive();
    entry.version = message.version();
    entry.isHead = message.method() == beast::http::verb::head;
    entry.bytes = m_headBytes + request.body.size();
    entry.memory = std::move(m_bodyReservation);
    if (!base::runIsolated("http.overlap", [&] { entry.mayOverlap = m_owner.handler().mayOverlap(request); }))
        entry.mayOverlap = false;
    m_reader = Reader::Off;
    m_pipeline.add(std::move(entry));
    handleNext();
    readNext();
}

void Session::handleNext()
{
    if (auto* next = m_pipeline.nextToHandle())
        handle(*next);
}

void Session::handle(PipelinedRequest& entry)
{
    entry.isHandled = true;
    auto number = entry.number;
    if (m_owner.isRefusing()) {
        entry.keepAlive = false;
        return respond(
            refusal(STATUS_UNAVAILABLE, { { "Retry-After", "0" } },
                R"({"error":"unavailable","message":"this process stops","remedy":"send it to another node"})"),
            number);
    }
    auto reply = std::make_shared<SessionReply>(shared_from_this(), number);
    auto request = std::move(entry.request);
    if (base::runIsolated("http.request", [&] { m_owner.handler().handle(std::move(request), reply); }))
        return;
    HttpResponse response;
    response.status = STATUS_INTERNAL_ERROR;
    response.headers = { { "Content-Type", "application/json" } };
    response.body = R"({"error":"internal","message":"the request failed here","remedy":"report it"})";
    respond(std::move(response), number);
}

// Refuses a malformed or oversized request and closes the connection after it, since the start of the next request can
// no longer be determined.
void Session::refuseMalformed(beast::error_code ec)
{
    refuse(statusOfReadError(ec), {},
        R"({"error":"invalid_input","message":"request refused: )" + ec.message()
            + R"(","remedy":"send a well-formed HTTP/1.1 request within the documented size limits"})");
}

void Session::refuseOutOfMemory()
{
    base::logRateLimited("http.no_memory",
        { { "target", m_parser->get().target() },
            { "announced", static_cast<int64_t>(m_parser->content_length().value_or(0)) } });
    refuse(STATUS_UNAVAILABLE, { { "Retry-After", MEMORY_RETRY_AFTER_S } },
        R"({"error":"unavailable","message":"no memory for the body now","remedy":"send it again later"})");
}

HttpResponse Session::refusal(int status, HttpHeaders headers, std::string body)
{
    auto out = errorResponse(status, "not-run", std::move(body));
    out.headers.insert(out.headers.begin(), headers.begin(), headers.end());
    return out;
}

// Answers the request that is being read, in its turn, and reads no further one.
void Session::refuse(int status, HttpHeaders headers, std::string body)
{
    m_bodyReservation.release();
    m_reader = Reader::Off;
    PipelinedRequest entry;
    entry.isHandled = true;
    entry.keepAlive = false;
    entry.response = refusal(status, std::move(headers), std::move(body));
    m_pipeline.add(std::move(entry));
    writeNext();
    readNext();
}

// ---- responses ----

void Session::respond(HttpResponse response, uint64_t requestNumber)
{
    auto* entry = m_closed ? nullptr : m_pipeline.find(requestNumber);
    if (!entry || entry->response)
        return;
    entry->onCancel = nullptr;
    entry->memory.release();
    if (response.body.size() > UNLIMITED_RESPONSE_BYTES && !entry->memory.growTo(response.body.capacity())) {
        base::logRateLimited("http.no_memory_for_response", { { "bytes", response.body.size() } });
        response = errorResponse(STATUS_BAD_GATEWAY, "unknown",
            R"({"error":"unavailable","message":"no memory for the response now","remedy":"send it again later"})");
    }
    entry->bytes += response.body.size();
    entry->response = std::move(response);
    writeNext();
}

void Session::respondCut(HttpResponse response, size_t declaredBytes, uint64_t requestNumber)
{
    if (auto* entry = m_closed ? nullptr : m_pipeline.find(requestNumber); entry && !entry->response)
        entry->declaredBytes = declaredBytes;
    respond(std::move(response), requestNumber);
}

void Session::onCancel(std::function<void()> callback, uint64_t requestNumber)
{
    if (m_closed)
        return callback();
    auto* entry = m_pipeline.find(requestNumber);
    if (entry && !entry->response)
        entry->onCancel = std::move(callback);
}

void Session::writeContinue()
{
    m_owesContinue = false;
    m_writing = true;
    auto now = steadyNow();
    m_outputRate.start(now);
    m_writeDeadline = now + m_owner.limits().requestTimeout;
    boost::asio::async_write(
        m_socket, boost::asio::buffer(CONTINUE_RESPONSE), [self = shared_from_this()](beast::error_code ec, size_t) {
            self->m_writing = false;
            if (ec)
                return self->close();
            self->writeNext();
        });
}

// Writes the first response if it is ready.
void Session::writeNext()
{
    if (m_closed || m_writing || m_pipeline.empty() || !m_pipeline.front().response)
        return;
    auto& front = m_pipeline.front();
    m_writing = true;
    m_writeDeadline = steadyNow() + m_owner.limits().requestTimeout;
    if (front.declaredBytes)
        return writeCut(front);
    // During a drain, the last response closes the connection.
    bool keepAlive = front.keepAlive && (!m_owner.isDraining() || m_pipeline.size() > 1);
    if (!base::runIsolated("http.response", [&] { prepareResponse(front, keepAlive); }))
        return close();
    m_closesAfterResponse = !keepAlive;
    m_outputRate.start(steadyNow());
    m_serializer.emplace(*m_response);
    if (!front.isHead)
        return writeSome();
    beast::http::async_write_header(m_socket, *m_serializer,
        [self = shared_from_this()](beast::error_code ec, size_t) { self->onResponseWritten(ec); });
}

// Writes what the socket takes. The caller keeps its connection as long as it takes something within the time limit.
void Session::writeSome()
{
    m_writeDeadline = steadyNow() + m_owner.limits().requestTimeout;
    beast::http::async_write_some(m_socket, *m_serializer, [self = shared_from_this()](beast::error_code ec, size_t n) {
        self->m_outputRate.add(n);
        if (self->m_closed || ec || self->m_serializer->is_done())
            return self->onResponseWritten(ec);
        self->writeSome();
    });
}

// Throws std::exception for a response that HTTP forbids, for example a 204 with a body.
void Session::prepareResponse(PipelinedRequest& entry, bool keepAlive)
{
    m_response.emplace(static_cast<beast::http::status>(entry.response->status), entry.version);
    for (const auto& it : entry.response->headers)
        m_response->insert(it.name, it.value);
    m_response->keep_alive(keepAlive);
    m_response->body() = std::move(entry.response->body);
    m_response->prepare_payload();
}

void Session::writeCut(PipelinedRequest& entry)
{
    m_closesAfterResponse = true;
    m_cutResponse = "HTTP/1.1 " + std::to_string(entry.response->status)
        + " OK\r\nContent-Length: " + std::to_string(*entry.declaredBytes) + "\r\n\r\n" + entry.response->body;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_cutResponse),
        [self = shared_from_this()](beast::error_code, size_t) { self->close(); });
}

void Session::onResponseWritten(beast::error_code ec)
{
    if (m_closed)
        return;
    m_serializer.reset();
    m_response.reset();
    m_writing = false;
    if (ec)
        return close();
    m_pipeline.popFront();
    if (m_closesAfterResponse)
        return shutdownAndLinger();
    if (m_pipeline.empty()) {
        auto now = steadyNow();
        m_idleSince = now;
        // The time limit of reading did not apply while earlier requests were being handled.
        if (m_reader == Reader::Reading)
            m_readDeadline = now + m_owner.limits().requestTimeout;
        if (m_owesContinue)
            writeContinue();
    }
    writeNext();
    handleNext();
    readNext();
}

// Closes the sending side and reads until the caller closes too. Closing with unread input would reset the connection,
// and the caller could lose the response.
void Session::shutdownAndLinger()
{
    m_lingering = true;
    m_closesAfterResponse = true;
    m_lingerDeadline = steadyNow() + LINGER_TIMEOUT;
    beast::error_code ec;
    m_socket.shutdown(tcp::socket::shutdown_send, ec);
    discardInput();
}

void Session::discardInput()
{
    m_socket.async_read_some(
        boost::asio::buffer(m_discardBuffer), [self = shared_from_this()](beast::error_code ec, size_t) {
            if (ec || self->m_closed)
                return self->close();
            self->discardInput();
        });
}

} // namespace pomelowind::http
