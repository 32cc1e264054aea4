#include "pomelowind/http/HttpServer.h"

#include "Session.h"
#include "SlowCallers.h"
#include "pomelowind/base/Listener.h"
#include "pomelowind/base/Log.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <sys/resource.h>
#include <unordered_set>

namespace pomelowind::http {

namespace {

    namespace beast = boost::beast;
    using base::Instant;
    using boost::asio::ip::tcp;

    constexpr auto SWEEP_PERIOD = base::Millis(200);
    // Part of the connections that is closed when there are too many, so that the search for those that have been idle
    // longest is not repeated for each new connection.
    constexpr size_t IDLE_SHARE = 32;

    Instant steadyNow() { return std::chrono::steady_clock::now(); }

    class BeastServer final : public HttpServer, public SessionOwner {
    public:
        BeastServer(boost::asio::io_context& io, const base::Address& address, HttpLimits limits, HttpHandler& handler,
            base::MemoryBudgetPtr bodyMemory)
            : m_acceptor(io)
            , m_sweepTimer(io)
            , m_limits(limits)
            , m_handler(handler)
            , m_bodyMemory(std::move(bodyMemory))
            , m_inputReservation(m_bodyMemory)
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
        ClosedCallers closedCallers() const override { return m_closedCallers; }
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
                    // The process has no descriptor left.
                    m_acceptPaused = true;
                    return closeLongestIdle();
                }
                if (m_sessions.size() >= m_limits.maxConnections)
                    closeLongestIdle();
                if (m_sessions.size() >= m_limits.maxConnections) {
                    ++m_closedCallers.refused;
                    base::logRateLimited("http.connection_refused", { { "open", m_sessions.size() } });
                } else {
                    auto session = std::make_shared<Session>(std::move(socket), *this);
                    m_sessions.insert(session);
                    session->start();
                }
                accept();
            });
        }

        // Closes the connections that have been longest without a request.
        void closeLongestIdle()
        {
            std::vector<std::pair<Instant, std::shared_ptr<Session>>> idle;
            for (const auto& it : m_sessions) {
                if (auto since = it->idleSince())
                    idle.emplace_back(*since, it);
            }
            auto n = std::min(idle.size(), std::max<size_t>(1, m_sessions.size() / IDLE_SHARE));
            std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(n), idle.end());
            idle.resize(n);
            m_closedCallers.idle += n;
            if (n)
                base::logRateLimited("http.idle_closed", { { "open", m_sessions.size() }, { "closed", n } });
            for (const auto& [since, session] : idle)
                session->close();
        }

        // Closes connections of slow callers while there is not enough memory for others.
        void closeSlowCallers(Instant now)
        {
            std::vector<std::shared_ptr<Session>> sessions;
            std::vector<HeldTransfer> transfers;
            size_t inputBytes = 0;
            for (const auto& it : m_sessions) {
                inputBytes += it->inputBytes();
                if (auto transfer = it->heldTransfer(now)) {
                    sessions.push_back(it);
                    transfers.push_back(*transfer);
                }
            }
            if (!m_bodyMemory)
                return;
            // A few incomplete heads must not take the room of the largest body.
            m_inputReservation.setTo(inputBytes - std::min(inputBytes, m_bodyMemory->smallBodyBytes()));
            auto shortage = m_bodyMemory->takeShortage();
            if (!shortage)
                return;
            for (size_t i : transfersToEnd(transfers, shortage, m_limits.slowCallerBytesPerSecond)) {
                ++m_closedCallers.slow;
                base::logRateLimited("http.slow_caller_closed",
                    { { "bytes", transfers[i].bytes }, { "bytes_per_s", transfers[i].bytesPerSecond } });
                sessions[i]->close();
            }
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
            closeSlowCallers(now);
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
        base::MemoryReservation m_inputReservation; // of the input of all connections that has not been parsed
        ClosedCallers m_closedCallers;
        std::unordered_set<std::shared_ptr<Session>> m_sessions;
        std::optional<Instant> m_drainDeadline;
        std::function<void()> m_onDrained;
        bool m_acceptPaused { false };
        bool m_closing { false };
    };

}

size_t connectionsForShare(double share)
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return HttpLimits().maxConnections;
    auto n = static_cast<size_t>(static_cast<double>(limit.rlim_cur) * share);
    return std::clamp<size_t>(n, 1, HttpLimits().maxConnections);
}

std::unique_ptr<HttpServer> makeHttpServer(boost::asio::io_context& io, const base::Address& address, HttpLimits limits,
    HttpHandler& handler, base::MemoryBudgetPtr bodyMemory)
{
    return std::make_unique<BeastServer>(io, address, limits, handler, std::move(bodyMemory));
}

} // namespace pomelowind::http
