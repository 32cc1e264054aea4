#include "pomelowind/http/HttpClient.h"

#include "ParserLimits.h"
#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Isolation.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <unordered_set>

namespace pomelowind::http {

namespace {

    namespace beast = boost::beast;
    using boost::asio::ip::tcp;

    constexpr uint64_t MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    // Interim (1xx) responses and responses to earlier requests that may precede the expected one.
    constexpr int MAX_SKIPPED_RESPONSES = 8;
    constexpr unsigned FIRST_FINAL_STATUS = 200;
    constexpr unsigned FIRST_FAILURE_STATUS = 300;
    // Failed requests after which a connection is replaced; few connections fail so often, and each id takes 8 bytes.
    constexpr size_t MAX_FAILED_REQUESTS = 256;
    // Time to finish sending a request whose response arrived before the server had read all of it.
    constexpr auto REQUEST_REMAINDER_TIMEOUT = base::Millis(5000);
    // A server that has closed its socket resets the connection one round trip after more of the request is sent.
    constexpr auto RESET_TIMEOUT = base::Millis(500);

    // Returns whether reading a response ended because the server closed or reset the connection.
    bool isConnectionLoss(beast::error_code ec)
    {
        return ec == boost::asio::error::connection_reset || ec == boost::asio::error::broken_pipe
            || ec == boost::asio::error::eof || ec == beast::http::error::end_of_stream
            || ec == beast::http::error::partial_message;
    }

    // Parser that rejects folded fields. Beast joins a line that begins with a blank to the field before it, so that
    // what was meant as a field of its own would change the value of another one.
    class ResponseParser final : public beast::http::response_parser<beast::http::string_body> {
        void on_field_impl(
            beast::http::field field, beast::string_view name, beast::string_view value, beast::error_code& ec) override
        {
            // A folded value is on a later line than its name, or in a buffer of its own.
            const char* nameEnd = name.data() + name.size();
            auto gap = reinterpret_cast<uintptr_t>(value.data()) - reinterpret_cast<uintptr_t>(nameEnd);
            if (gap > MAX_UNPARSED_BYTES || beast::string_view(nameEnd, gap).contains('\n')) {
                ec = beast::http::error::bad_field;
                return;
            }
            get().insert(field, name, value);
        }
    };

    class Connection;

    // Receives the state changes of pooled connections.
    class ConnectionPool {
    public:
        virtual ~ConnectionPool() = default;
        // The exchange has ended, and the connection can carry another one.
        virtual void onReleased(const std::shared_ptr<Connection>& connection) = 0;
        // The connection is closed.
        virtual void onClosed(const std::shared_ptr<Connection>& connection) = 0;
    };

    // One persistent connection. It carries one exchange at a time, and is closed when an exchange fails, so that a
    // late response cannot be taken for the response to a later request.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(boost::asio::io_context& io, std::weak_ptr<ConnectionPool> pool, const HttpClientOptions& options)
            : m_socket(io)
            , m_timer(io)
            , m_pool(std::move(pool))
            , m_buffer(MAX_UNPARSED_BYTES)
            , m_options(options)
        {
        }

        void startExchange(
            HttpRequest request, base::Millis budget, HttpClient::Callback done, const tcp::endpoint& endpoint)
        {
            m_done = std::move(done);
            m_sendingBegan = false;
            if (!base::runIsolated("http.client_request", [&] { prepareRequest(std::move(request)); }))
                return failLater("the request cannot be sent over HTTP");
            m_skippedResponses = 0;
            m_awaitsWriteResult = false;
            m_bodyReservation = base::MemoryReservation(m_options.bodyMemory);
            m_timer.expires_after(budget);
            m_timer.async_wait([self = shared_from_this(), exchangeNumber = m_exchangeNumber](beast::error_code ec) {
                if (!ec && exchangeNumber == self->m_exchangeNumber && self->m_done)
                    self->fail(self->m_sendingBegan ? ExchangeEnd::TimedOut : ExchangeEnd::NotSent, "deadline passed");
            });
            if (m_connected)
                return writeRequest();
            m_socket.async_connect(endpoint, [self = shared_from_this()](beast::error_code ec) {
                if (!self->m_done)
                    return;
                if (ec)
                    return self->fail(ExchangeEnd::NotSent, ec.message(), ec);
                self->m_connected = true;
                beast::error_code ignored;
                self->m_socket.set_option(tcp::no_delay(true), ignored);
                self->writeRequest();
            });
        }

        uint64_t exchangeNumber() const { return m_exchangeNumber; }

        void cancel(uint64_t exchangeNumber)
        {
            if (exchangeNumber == m_exchangeNumber && m_done)
                fail(m_sendingBegan ? ExchangeEnd::Cancelled : ExchangeEnd::NotSent, "cancelled");
        }

        // Removes an idle connection from the pool as soon as the server closes it, so that no request is sent on it.
        void watchIdle()
        {
            m_socket.async_wait(tcp::socket::wait_read,
                [self = shared_from_this(), exchangeNumber = m_exchangeNumber](beast::error_code) {
                    if (exchangeNumber == self->m_exchangeNumber && !self->m_done)
                        self->closeAndRemove();
                });
        }

        // Returns false when the idle connection is too old, was closed by the server, or has unsolicited input.
        bool isUsable()
        {
            if (std::chrono::steady_clock::now() >= m_usableUntil)
                return false;
            char c = 0;
            beast::error_code ec;
            m_socket.non_blocking(true, ec);
            m_socket.receive(boost::asio::buffer(&c, 1), tcp::socket::message_peek, ec);
            return ec == boost::asio::error::would_block;
        }

        // Returns whether a request with this value of the echo header has failed on the connection. The server may
        // repeat that response, so the value no longer identifies the response of a resend.
        bool hasFailed(std::string_view echo) const
        {
            return std::find(m_failedRequests.begin(), m_failedRequests.end(), base::hash64(echo))
                != m_failedRequests.end();
        }

        void closeAndRemove()
        {
            m_closed = true;
            beast::error_code ec;
            m_socket.close(ec);
            if (auto pool = m_pool.lock())
                pool->onClosed(shared_from_this());
        }

    private:
        // Ends the exchange as not sent, but not before the caller of startExchange() has its handle.
        void failLater(const std::string& error)
        {
            boost::asio::post(
                m_socket.get_executor(), [self = shared_from_this(), exchangeNumber = m_exchangeNumber, error] {
                    if (exchangeNumber == self->m_exchangeNumber && self->m_done)
                        self->fail(ExchangeEnd::NotSent, error);
                });
        }

        // Throws std::exception for a request that HTTP forbids, for example a TRACE with a body.
        void prepareRequest(HttpRequest request)
        {
            m_request = {};
            m_request.version(11);
            m_request.method_string(request.method);
            m_request.target(request.path);
            for (const auto& it : request.headers)
                m_request.insert(it.name, it.value);
            m_body = request.sharedBody ? std::move(request.sharedBody)
                                        : std::make_shared<const std::string>(std::move(request.body));
            m_request.body() = { m_body->data(), m_body->size() };
            m_request.prepare_payload();
            m_request.keep_alive(true);
            if (!m_options.echoHeader.empty())
                m_expectedEcho = std::string(m_request[m_options.echoHeader]);
            m_isHeadRequest = request.method == "HEAD";
        }

        void writeRequest()
        {
            m_sendingBegan = true;
            m_writing = true;
            m_writeError = {};
            beast::http::async_write(m_socket, m_request,
                [self = shared_from_this()](beast::error_code ec, size_t) { self->onRequestWritten(ec); });
            // Reads while writing: a server may respond before it has read the whole request, and then stop reading for
            // a while.
            readResponse();
        }

        void onRequestWritten(beast::error_code ec)
        {
            m_writing = false;
            m_writeError = ec;
            m_body.reset();
            if (m_done && m_awaitsWriteResult)
                return onStreamEnded();
            // While the response is outstanding, the result of reading it ends the exchange, even if the write failed.
            if (m_done || m_closed)
                return;
            m_timer.cancel();
            if (ec)
                closeAndRemove();
            else
                releaseOrClose();
        }

        void readResponse()
        {
            m_parser.emplace();
            m_parser->body_limit(MAX_RESPONSE_BYTES);
            m_parser->skip(m_isHeadRequest);
            readSome();
        }

        void readSome()
        {
            beast::http::async_read_some(
                m_socket, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code ec, size_t) {
                    if (!self->m_done)
                        return;
                    if (ec)
                        return self->fail(ExchangeEnd::Ambiguous, ec.message(), ec);
                    const auto& message = self->m_parser->get();
                    if (self->m_parser->is_header_done() && !isStatusCode(static_cast<int>(message.result_int())))
                        return self->fail(ExchangeEnd::Ambiguous, "invalid status code");
                    if (!self->reserveBody())
                        return self->fail(ExchangeEnd::Ambiguous, "no memory for the response");
                    if (!self->m_parser->is_done())
                        return self->readSome();
                    if (self->m_parser->need_eof())
                        return self->onStreamEnded();
                    self->onResponseRead();
                });
        }

        // Reserves the announced length of a body before it arrives, and the memory that a body of unknown length
        // takes. Returns false when there is not enough memory.
        bool reserveBody()
        {
            size_t bytes = m_parser->get().body().capacity();
            if (m_parser->is_header_done() && !m_parser->is_done() && !m_isHeadRequest)
                bytes = std::max(bytes, static_cast<size_t>(m_parser->content_length().value_or(0)));
            return m_bodyReservation.growTo(bytes);
        }

        // Returns whether this is an interim response or a duplicate response to an earlier request.
        bool isInterimOrForeign(const beast::http::response<beast::http::string_body>& message) const
        {
            bool isForeign = !m_options.echoHeader.empty() && message[m_options.echoHeader] != m_expectedEcho;
            return message.result_int() < FIRST_FINAL_STATUS || isForeign;
        }

        // The end of the stream completes a response without a length, unless the connection has failed. While the
        // request is being sent, the error of a reset may end the write instead of the read, so the write decides.
        void onStreamEnded()
        {
            if (m_writeError)
                return fail(ExchangeEnd::Ambiguous, "connection failed before the response ended", m_writeError);
            if (!m_writing)
                return onResponseRead();
            m_awaitsWriteResult = true;
            m_timer.expires_at(std::min(m_timer.expiry(), std::chrono::steady_clock::now() + RESET_TIMEOUT));
            m_timer.async_wait([self = shared_from_this(), exchangeNumber = m_exchangeNumber](beast::error_code ec) {
                if (!ec && exchangeNumber == self->m_exchangeNumber && self->m_done)
                    self->onResponseRead();
            });
        }

        void onResponseRead()
        {
            // Unlike that of the message, the parser's answer is no for a response that ends with its connection.
            bool keepAlive = m_parser->keep_alive();
            auto message = m_parser->release();
            if (isInterimOrForeign(message)) {
                bool mayReadNext = keepAlive && ++m_skippedResponses <= MAX_SKIPPED_RESPONSES;
                return mayReadNext ? readResponse() : fail(ExchangeEnd::Ambiguous, "response of another request");
            }
            ExchangeResult result;
            result.end = ExchangeEnd::Answered;
            result.response.status = message.result_int();
            for (const auto& it : message)
                result.response.headers.push_back({ std::string(it.name_string()), std::string(it.value()) });
            result.response.body = std::move(message.body());
            m_isReusable = keepAlive && !m_buffer.size();
            if (message.result_int() >= FIRST_FAILURE_STATUS)
                onRequestFailed(message);
            m_usableUntil = std::chrono::steady_clock::now() + idleLifetime(message[beast::http::field::keep_alive]);
            m_timer.cancel();
            m_bodyReservation.release();
            ++m_exchangeNumber;
            auto done = std::move(m_done);
            m_done = nullptr;
            if (m_isReusable && m_writing)
                waitForRequestWritten();
            else
                releaseOrClose();
            report(done, std::move(result));
        }

        void onRequestFailed(const beast::http::response<beast::http::string_body>& message)
        {
            const auto& mark = m_options.refusalMark;
            if (m_expectedEcho.empty()) {
                if (!mark.name.empty() && message[mark.name] == mark.value)
                    m_isReusable = false;
                return;
            }
            m_failedRequests.push_back(base::hash64(m_expectedEcho));
            if (m_failedRequests.size() >= MAX_FAILED_REQUESTS)
                m_isReusable = false;
        }

        // Calls the caller of request(), whose failure must not end the event loop.
        static void report(const HttpClient::Callback& done, ExchangeResult result)
        {
            base::runIsolated("http.client_response", [&] { done(std::move(result)); });
        }

        // Keeps the connection out of the pool until the rest of the request is sent, since another request cannot be
        // sent before.
        void waitForRequestWritten()
        {
            m_timer.expires_after(REQUEST_REMAINDER_TIMEOUT);
            m_timer.async_wait([self = shared_from_this(), exchangeNumber = m_exchangeNumber](beast::error_code ec) {
                if (!ec && exchangeNumber == self->m_exchangeNumber && self->m_writing)
                    self->closeAndRemove();
            });
        }

        void releaseOrClose()
        {
            auto pool = m_pool.lock();
            if (m_isReusable && pool)
                pool->onReleased(shared_from_this());
            else
                closeAndRemove();
        }

        // Returns the server's idle timeout less one second, in which its close may already be in transit, but at most
        // the configured lifetime.
        base::Millis idleLifetime(std::string_view keepAlive) const
        {
            constexpr std::string_view KEY = "timeout=";
            auto at = keepAlive.find(KEY);
            if (at == keepAlive.npos)
                return m_options.idleLifetime;
            auto text = keepAlive.substr(at + KEY.size());
            int32_t seconds = 0;
            std::from_chars(text.data(), text.data() + text.size(), seconds);
            return std::min<base::Millis>(m_options.idleLifetime, std::chrono::seconds(std::max(1, seconds) - 1));
        }

        void fail(ExchangeEnd end, const std::string& error, beast::error_code ec = {})
        {
            m_timer.cancel();
            m_bodyReservation.release();
            ++m_exchangeNumber;
            auto done = std::move(m_done);
            m_done = nullptr;
            closeAndRemove();
            ExchangeResult result;
            result.end = end;
            result.error = error;
            result.connectionRefused = end == ExchangeEnd::NotSent && ec == boost::asio::error::connection_refused;
            result.connectionLost = end == ExchangeEnd::Ambiguous && isConnectionLoss(ec);
            report(done, std::move(result));
        }

        tcp::socket m_socket;
        boost::asio::steady_timer m_timer;
        std::weak_ptr<ConnectionPool> m_pool;
        beast::flat_buffer m_buffer;
        std::shared_ptr<const std::string> m_body; // owns the bytes to which m_request refers
        beast::http::request<beast::http::span_body<const char>> m_request;
        std::optional<ResponseParser> m_parser;
        HttpClient::Callback m_done;
        uint64_t m_exchangeNumber { 0 };
        bool m_connected { false };
        bool m_sendingBegan { false };
        bool m_isHeadRequest { false };
        bool m_writing { false };
        beast::error_code m_writeError; // of the request of this exchange
        bool m_awaitsWriteResult { false }; // the response is complete if the write does not fail
        bool m_isReusable { false };
        bool m_closed { false };
        int m_skippedResponses { 0 };
        base::MemoryReservation m_bodyReservation;
        const HttpClientOptions m_options;
        std::string m_expectedEcho;
        std::vector<uint64_t> m_failedRequests; // hashes of the values of their echo headers
        base::Instant m_usableUntil;
    };

    class ConnectionExchange final : public Exchange {
    public:
        explicit ConnectionExchange(std::shared_ptr<Connection> connection)
            : m_connection(std::move(connection))
            , m_exchangeNumber(m_connection->exchangeNumber())
        {
        }
        void cancel() override { m_connection->cancel(m_exchangeNumber); }

    private:
        std::shared_ptr<Connection> m_connection;
        uint64_t m_exchangeNumber;
    };

    class UnsentExchange final : public Exchange {
    public:
        void cancel() override { }
    };

    class PooledClient final : public HttpClient,
                               public ConnectionPool,
                               public std::enable_shared_from_this<PooledClient> {
    public:
        PooledClient(boost::asio::io_context& io, const base::Address& address, HttpClientOptions options)
            : m_io(io)
            , m_endpoint(boost::asio::ip::make_address(address.ip), address.port)
            , m_options(std::move(options))
        {
        }

        std::shared_ptr<Exchange> request(HttpRequest request, base::Millis budget, Callback done) override
        {
            auto connection = acquire(findHeader(request.headers, m_options.echoHeader));
            if (!connection) {
                boost::asio::post(m_io, [done = std::move(done)] {
                    ExchangeResult result;
                    result.error = "no free connection";
                    done(std::move(result));
                });
                return std::make_shared<UnsentExchange>();
            }
            auto exchange = std::make_shared<ConnectionExchange>(connection);
            connection->startExchange(std::move(request), budget, std::move(done), m_endpoint);
            return exchange;
        }

        size_t connectionCount() const override { return m_connections.size(); }

        void close() override
        {
            m_closed = true;
            auto idle = std::move(m_idleConnections);
            m_idleConnections.clear();
            for (const auto& it : idle)
                it->closeAndRemove();
        }

        void onReleased(const std::shared_ptr<Connection>& connection) override
        {
            if (m_closed)
                return connection->closeAndRemove();
            m_idleConnections.push_back(connection);
            connection->watchIdle();
        }

        void onClosed(const std::shared_ptr<Connection>& connection) override
        {
            m_connections.erase(connection);
            std::erase(m_idleConnections, connection);
        }

    private:
        // Returns a connection for a request with this value of the echo header, or null if there is none.
        std::shared_ptr<Connection> acquire(std::string_view echo)
        {
            while (!m_closed && !m_idleConnections.empty()) {
                auto connection = m_idleConnections.back();
                m_idleConnections.pop_back();
                if (connection->isUsable() && !connection->hasFailed(echo))
                    return connection;
                connection->closeAndRemove();
            }
            if (m_closed || m_connections.size() >= m_options.maxConnections)
                return nullptr;
            auto connection = std::make_shared<Connection>(m_io, weak_from_this(), m_options);
            m_connections.insert(connection);
            return connection;
        }

        boost::asio::io_context& m_io;
        tcp::endpoint m_endpoint;
        HttpClientOptions m_options;
        std::unordered_set<std::shared_ptr<Connection>> m_connections;
        std::vector<std::shared_ptr<Connection>> m_idleConnections;
        bool m_closed { false };
    };

}

std::shared_ptr<HttpClient> makeHttpClient(
    boost::asio::io_context& io, const base::Address& address, HttpClientOptions options)
{
    return std::make_shared<PooledClient>(io, address, std::move(options));
}

} // namespace pomelowind::http
