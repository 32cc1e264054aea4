#include "pomelowind/host/Metrics.h"

#include "pomelowind/base/Errors.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace pomelowind::host {

namespace {

    // Short beside a process's stop, and long enough for a thread to notice a connection.
    constexpr auto WAKE_PERIOD = std::chrono::milliseconds(10);

    class PrometheusGauge final : public Gauge {
    public:
        explicit PrometheusGauge(prometheus::Gauge& gauge)
            : m_gauge(gauge)
        {
        }
        void set(double value) override { m_gauge.Set(value); }

    private:
        prometheus::Gauge& m_gauge;
    };

    class PrometheusCounter final : public Counter {
    public:
        explicit PrometheusCounter(prometheus::Counter& counter)
            : m_counter(counter)
        {
        }
        void add(double n) override { m_counter.Increment(n); }

    private:
        prometheus::Counter& m_counter;
    };

    class PrometheusHistogram final : public Histogram {
    public:
        explicit PrometheusHistogram(prometheus::Histogram& histogram)
            : m_histogram(histogram)
        {
        }
        void observe(double value) override { m_histogram.Observe(value); }

    private:
        prometheus::Histogram& m_histogram;
    };

    class PrometheusMetrics final : public Metrics {
    public:
        explicit PrometheusMetrics(const base::Address& address)
            : m_address(address)
            , m_registry(std::make_shared<prometheus::Registry>())
            , m_exposer(std::make_unique<prometheus::Exposer>(
                  std::vector<std::string> { "listening_ports", address.text(), "num_threads", "2" }))
        {
            m_exposer->RegisterCollectable(m_registry);
        }

        // The HTTP server's thread notices its end at the next connection, or up to two seconds later.
        ~PrometheusMetrics() override
        {
            auto closed = std::async(std::launch::async, [this] { m_exposer.reset(); });
            while (closed.wait_for(WAKE_PERIOD) != std::future_status::ready)
                wakeServer();
        }

        std::shared_ptr<Gauge> gauge(const std::string& name, const std::string& help) override
        {
            auto& family = prometheus::BuildGauge().Name("pomelowind_" + name).Help(help).Register(*m_registry);
            return std::make_shared<PrometheusGauge>(family.Add({}));
        }

        std::shared_ptr<Counter> counter(const std::string& name, const std::string& help) override
        {
            auto& family = prometheus::BuildCounter().Name("pomelowind_" + name).Help(help).Register(*m_registry);
            return std::make_shared<PrometheusCounter>(family.Add({}));
        }

        std::shared_ptr<Histogram> histogram(
            const std::string& name, const std::string& help, std::vector<double> bounds) override
        {
            auto& family = prometheus::BuildHistogram().Name("pomelowind_" + name).Help(help).Register(*m_registry);
            return std::make_shared<PrometheusHistogram>(
                family.Add({}, prometheus::Histogram::BucketBoundaries(bounds.begin(), bounds.end())));
        }

    private:
        void wakeServer() const
        {
            boost::asio::io_context io;
            boost::asio::ip::tcp::socket socket(io);
            // Refused once the server has closed its listener.
            boost::system::error_code ignored;
            socket.connect({ boost::asio::ip::make_address(m_address.ip), m_address.port }, ignored);
        }

        const base::Address m_address;
        std::shared_ptr<prometheus::Registry> m_registry;
        std::unique_ptr<prometheus::Exposer> m_exposer;
    };

}

std::unique_ptr<Metrics> serveMetrics(const base::Address& address)
{
    try {
        return std::make_unique<PrometheusMetrics>(address);
    } catch (const std::exception& e) {
        throw base::UserError(base::ErrorKind::Settings, "cannot serve metrics on " + address.text() + ": " + e.what(),
            "choose a free port of this host for 'metrics_address'");
    }
}

} // namespace pomelowind::host
