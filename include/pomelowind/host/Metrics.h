// Metrics of a process, served in the Prometheus text format at /metrics through prometheus-cpp.
#pragma once

#include "pomelowind/base/Settings.h"

#include <memory>
#include <string>
#include <vector>

namespace pomelowind::host {

// A value that can go up and down. Thread safety: any thread.
class Gauge {
public:
    virtual ~Gauge() = default;
    virtual void set(double value) = 0;
};

// A cumulative value that only increases. Thread safety: any thread.
class Counter {
public:
    virtual ~Counter() = default;
    virtual void add(double n) = 0;
};

// The distribution of observed values, counted in buckets. Thread safety: any thread.
class Histogram {
public:
    virtual ~Histogram() = default;
    virtual void observe(double value) = 0;
};

// The metrics registry of a process. Names are given without the prefix "pomelowind_". Thread safety: any thread.
class Metrics {
public:
    virtual ~Metrics() = default;
    virtual std::shared_ptr<Gauge> gauge(const std::string& name, const std::string& help) = 0;
    virtual std::shared_ptr<Counter> counter(const std::string& name, const std::string& help) = 0;
    // `bounds` are the upper bounds of the buckets, in ascending order.
    virtual std::shared_ptr<Histogram> histogram(
        const std::string& name, const std::string& help, std::vector<double> bounds)
        = 0;
};

// Starts an HTTP server for the metrics at `address` and returns the registry. Throws UserError(Settings) when the
// address cannot be bound.
std::unique_ptr<Metrics> serveMetrics(const base::Address& address);

} // namespace pomelowind::host
