#include "pomelowind/http/HttpServer.h"

#include "Session.h"
#include "pomelowind/base/Listener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <unordered_set>

namespace pomelowind::http {

namespace {

    namespace beast = boost::beast;
    using base::Instant;
    using boost::asio::ip::tcp;

    constexpr auto SWEEP_PERIOD = base::Millis(200);

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
