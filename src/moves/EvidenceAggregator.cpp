#include "pomelowind/moves/EvidenceAggregator.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <tuple>

namespace pomelowind::moves {

namespace {

    using Dimension = wire::EvidenceDimension;

    constexpr double TOLERATED_FAILURE_ODDS_RATIO = 1.25;
    constexpr double TOLERATED_SLOW_ODDS_RATIO = 1.3;
    constexpr double SLOW_QUANTILE = 0.9;
    constexpr int64_t MIN_BASELINE_CALLS = 20;
    // Share of the faults that must lie outside the worst target or data centre before the version is found bad.
    constexpr double MIN_SPREAD_RATIO = 0.15;
    constexpr size_t MAX_TESTS = 256;
    // Batches in the window of recent evidence: 1.5 s at four batches per second, long enough for slow calls sent after
    // a change of the share to be answered.
    constexpr size_t RECENT_BATCHES = 6;
    // Fewer faults may be due to chance.
    constexpr int64_t MIN_RECENT_FAULTS = 3;
    constexpr char ALL_ROUTES[] = "all";

    // How the faults are distributed over targets or data centres.
    struct FaultSpread {
        int64_t worst { 0 };
        int64_t total { 0 };

        void add(int64_t faults)
        {
            worst = std::max(worst, faults);
            total += faults;
        }
        int64_t outsideWorst() const { return total - worst; }
        bool isWidespread() const
        {
            return static_cast<double>(outsideWorst()) >= MIN_SPREAD_RATIO * static_cast<double>(total);
        }
    };

    int64_t countCallsAbove(const std::map<int16_t, int64_t>& buckets, int16_t limit)
    {
        int64_t n = 0;
        for (auto it = buckets.upper_bound(limit); it != buckets.end(); ++it)
            n += it->second;
        return n;
    }

    int64_t countCalls(const std::map<int16_t, int64_t>& buckets)
    {
        int64_t n = 0;
        for (const auto& [bucket, count] : buckets)
            n += count;
        return n;
    }

    const char* dimensionName(Dimension::type dimension)
    {
        switch (dimension) {
        case Dimension::ROUTE:
            return "route";
        case Dimension::ACCOUNT:
            return "client account";
        case Dimension::TARGET:
            return "target";
        }
        return "unknown";
    }

}

int16_t latencyBucket(int64_t micros)
{
    return static_cast<int16_t>(std::floor(2 * std::log2(static_cast<double>(std::max<int64_t>(1, micros)))));
}

EvidenceAggregator::EvidenceAggregator(std::string candidate, std::string stable, EvidenceOptions options)
    : m_candidate(std::move(candidate))
    , m_stable(std::move(stable))
    , m_options(options)
{
}

void EvidenceAggregator::add(const std::vector<wire::EvidenceCell>& cells)
{
    for (const auto& it : cells) {
        bool isCandidate = it.version == m_candidate;
        if (!isCandidate && it.version != m_stable)
            continue;
        if (it.dimension == Dimension::TARGET) {
            if (isCandidate) {
                m_candidateByTarget[it.value].calls += it.calls;
                m_candidateByTarget[it.value].faults += it.failures;
            }
            continue;
        }
        addToBatch(m_openBatches[{ it.dimension, it.value, it.dataCentre }], it, isCandidate);
        if (it.dimension == Dimension::ROUTE)
            addToBatch(m_openBatches[{ it.dimension, ALL_ROUTES, it.dataCentre }], it, isCandidate);
    }
}

void EvidenceAggregator::addToBatch(Batch& batch, const wire::EvidenceCell& cell, bool isCandidate)
{
    auto& sample = isCandidate ? batch.candidate : batch.stable;
    sample.calls += cell.calls;
    sample.faults += cell.failures;
    auto& latency = isCandidate ? batch.candidateLatency : batch.stableLatency;
    for (const auto& [bucket, count] : cell.latency)
        latency[bucket] += count;
}

void EvidenceAggregator::closeBatch()
{
    m_recentBatches.emplace_back();
    if (m_recentBatches.size() > RECENT_BATCHES)
        m_recentBatches.pop_front();
    for (const auto& [key, batch] : m_openBatches) {
        addToTests({ key.dimension, key.value, Measure::Failures }, key.dataCentre, batch.candidate, batch.stable);
        if (key.dimension != Dimension::ROUTE)
            continue;
        auto& recent = m_recentBatches.back()[key.value];
        recent.calls += batch.candidate.calls;
        recent.faults += batch.candidate.faults;
        addLatencyToTests(key, batch);
        if (key.value != ALL_ROUTES)
            continue;
        m_candidateTotal.calls += batch.candidate.calls;
        m_candidateTotal.faults += batch.candidate.faults;
        m_stableTotal.calls += batch.stable.calls;
        m_stableTotal.faults += batch.stable.faults;
    }
    m_openBatches.clear();
}

void EvidenceAggregator::addToTests(
    const TestKey& key, const std::string& dataCentre, const Sample& candidate, const Sample& stable)
{
    auto it = m_tests.find(key);
    if (it == m_tests.end()) {
        if (m_tests.size() >= MAX_TESTS)
            return;
        double toleratedOddsRatio
            = key.measure == Measure::Latency ? TOLERATED_SLOW_ODDS_RATIO : TOLERATED_FAILURE_ODDS_RATIO;
        it = m_tests.emplace(key, SeriesTests { SequentialTest(toleratedOddsRatio), {}, {}, {}, {}, {} }).first;
    }
    auto& tests = it->second;
    // A service with little traffic seldom has calls on both versions in one period, so calls accumulate until both
    // versions have some.
    auto& uncompared = tests.uncompared[dataCentre];
    uncompared.first.calls += candidate.calls;
    uncompared.first.faults += candidate.faults;
    uncompared.second.calls += stable.calls;
    uncompared.second.faults += stable.faults;
    if (uncompared.first.calls && uncompared.second.calls) {
        tests.comparison.add(uncompared.first, uncompared.second);
        uncompared = {};
    }
    tests.candidate.calls += candidate.calls;
    tests.candidate.faults += candidate.faults;
    if (candidate.calls)
        tests.faultsByDataCentre[dataCentre] += candidate.faults;
    tests.stable.calls += stable.calls;
    tests.stable.faults += stable.faults;
    // While the stable version fails too, the learned rate does not apply to the candidate.
    if (key.measure == Measure::Failures && !tests.rate.isStableDegraded(stable))
        tests.rate.add(candidate, stable);
}

// Counts a call as slow when it takes longer than 9 in 10 calls of the stable version took in earlier batches.
void EvidenceAggregator::addLatencyToTests(const BatchKey& key, const Batch& batch)
{
    auto& baseline = m_latencyBaselines[key.value];
    if (baseline.total >= MIN_BASELINE_CALLS) {
        int16_t limit = 0;
        int64_t cumulativeCalls = 0;
        for (const auto& [bucket, count] : baseline.buckets) {
            limit = bucket;
            cumulativeCalls += count;
            if (static_cast<double>(cumulativeCalls) >= SLOW_QUANTILE * static_cast<double>(baseline.total))
                break;
        }
        Sample candidate { countCalls(batch.candidateLatency), countCallsAbove(batch.candidateLatency, limit) };
        Sample stable { countCalls(batch.stableLatency), countCallsAbove(batch.stableLatency, limit) };
        addToTests({ key.dimension, key.value, Measure::Latency }, key.dataCentre, candidate, stable);
    }
    for (const auto& [bucket, count] : batch.stableLatency) {
        baseline.buckets[bucket] += count;
        baseline.total += count;
    }
}

// A bad version fails on more than one target. A single failing target indicates a fault of its host, and the nodes'
// outlier ejection handles it.
bool EvidenceAggregator::isSpreadOverTargets(Measure measure) const
{
    if (measure == Measure::Latency || m_candidateByTarget.size() < 2)
        return true;
    FaultSpread spread;
    for (const auto& [target, sample] : m_candidateByTarget)
        spread.add(sample.faults);
    return spread.outsideWorst() >= 2 && spread.isWidespread();
}

// With few calls left on the stable version, the rate test cannot tell a failing data centre from a bad version. Faults
// in a single data centre are therefore left to the comparison test.
bool EvidenceAggregator::isSpreadOverDataCentres(const SeriesTests& tests)
{
    if (tests.faultsByDataCentre.size() < 2)
        return true;
    FaultSpread spread;
    for (const auto& [dataCentre, faults] : tests.faultsByDataCentre)
        spread.add(faults);
    return spread.isWidespread();
}

std::string EvidenceAggregator::describe(const TestKey& key, const SeriesTests& tests) const
{
    char buf[160];
    const char* finding = key.measure == Measure::Latency ? "slow" : "failed";
    std::snprintf(buf, sizeof buf, "%lld of %lld calls %s on %s, against %lld of %lld on %s",
        static_cast<long long>(tests.candidate.faults), static_cast<long long>(tests.candidate.calls), finding,
        m_candidate.c_str(), static_cast<long long>(tests.stable.faults), static_cast<long long>(tests.stable.calls),
        m_stable.c_str());
    return std::string(dimensionName(key.dimension)) + " " + key.value + ": " + buf;
}

Sample EvidenceAggregator::worstRecentRoute() const
{
    std::map<std::string, Sample> sums;
    for (const auto& batch : m_recentBatches) {
        for (const auto& [route, sample] : batch) {
            sums[route].calls += sample.calls;
            sums[route].faults += sample.faults;
        }
    }
    Sample out;
    for (const auto& [route, sample] : sums) {
        // Compares fault ratios by cross-multiplication. Routes with too few faults are skipped: a single call is too
        // little evidence.
        bool isWorse = sample.faults * std::max<int64_t>(1, out.calls) > out.faults * sample.calls;
        if (sample.faults >= MIN_RECENT_FAULTS && isWorse)
            out = sample;
    }
    return out;
}

EvidenceSummary EvidenceAggregator::summary() const
{
    EvidenceSummary out;
    out.candidate = m_candidateTotal;
    out.stable = m_stableTotal;
    out.worstRecentRoute = worstRecentRoute();
    for (const auto& [key, tests] : m_tests) {
        double comparison = tests.comparison.logEvidence();
        bool comparisonFired = comparison > m_options.decisionThreshold;
        bool rateTestFired = key.measure == Measure::Failures && tests.rate.logEvidence() > m_options.decisionThreshold
            && comparison > m_options.supportThreshold && isSpreadOverDataCentres(tests);
        bool isBad = (comparisonFired || rateTestFired) && isSpreadOverTargets(key.measure);
        if (comparison > out.logEvidence || (isBad && !out.isBad)) {
            out.logEvidence = comparison;
            out.reason = describe(key, tests);
        }
        out.isBad = out.isBad || isBad;
    }
    return out;
}

std::vector<wire::EvidenceCell> mergeCells(const std::vector<wire::EvidenceCell>& cells)
{
    using CellKey = std::tuple<std::string, std::string, Dimension::type, std::string, std::string>;
    std::map<CellKey, wire::EvidenceCell> sums;
    for (const auto& it : cells) {
        auto& sum = sums[{ it.serviceName, it.version, it.dimension, it.value, it.dataCentre }];
        int64_t calls = sum.calls + it.calls;
        int64_t failures = sum.failures + it.failures;
        auto latency = std::move(sum.latency);
        for (const auto& [bucket, count] : it.latency)
            latency[bucket] += count;
        sum = it;
        sum.calls = calls;
        sum.failures = failures;
        sum.latency = std::move(latency);
    }
    std::vector<wire::EvidenceCell> out;
    for (auto& [key, cell] : sums)
        out.push_back(std::move(cell));
    return out;
}

} // namespace pomelowind::moves
