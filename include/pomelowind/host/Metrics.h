// Metrics in Prometheus' format on /metrics of each program, through prometheus-cpp.
#pragma once

#include "pomelowind/base/Settings.h"

#include <memory>
#include <string>
#include <vector>

namespace pomelowind::host {

// A value that goes up and down. Thread safety: any thread.
class Gauge {
public:
    virtual ~Gauge() = default;
    virtual void set(double value) = 0;
};

// A value that only goes up. Thread safety: any thread.
class Counter {
public:
    virtual ~Counter() = default;
    virtual void add(double n) = 0;
};

// How values are spread. Thread safety: any thread.
class Histogram {
public:
    virtual ~Histogram() = default;
    virtual void observe(double value) = 0;
};

// The process's metrics. Thread safety: any thread.
class Metrics {
public:
    virtual ~Metrics() = default;
    virtual std::shared_ptr<Gauge> gauge(const std::string& name, const std::string& help) = 0;
    virtual std::shared_ptr<Counter> counter(const std::string& name, const std::string& help) = 0;
    // `bounds` are the upper ends of its buckets, ascending.
    virtual std::shared_ptr<Histogram> histogram(
        const std::string& name, const std::string& help, std::vector<double> bounds)
        = 0;
};

// Serves metrics at `address`. Throws UserError(Settings) when the address cannot be bound.
std::unique_ptr<Metrics> serveMetrics(const base::Address& address);

} // namespace pomelowind::host
