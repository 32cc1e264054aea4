// Collects the call results of one move by route, client account and target, and decides whether the candidate version
// is bad. The leader of the control hosts aggregates the reports of all nodes and passes the summary to the move
// planner. Each node also evaluates its own calls, so that it can stop using a bad version without waiting for the
// leader.
#pragma once

#include "pomelowind/base/Wire.h"
#include "pomelowind/moves/SequentialTest.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::moves {

// Returns the histogram bucket of a latency: floor(2 * log2(micros)), so two buckets for each doubling. Latencies below
// 1 us count as 1 us. Thread safety: pure.
int16_t latencyBucket(int64_t micros);

// A snapshot of the verdict and the counts behind it.
struct EvidenceSummary {
    bool isBad { false };
    std::string reason; // description of the deciding test, else of the strongest one, shown to operators
    // Natural logarithm of the evidence that the candidate is worse than the stable version, from the sequential
    // comparison of both on the calls that `reason` describes.
    double logEvidence { 0 };
    // Candidate calls in the most recent batches on the route with the highest failure ratio. Not compared with the
    // stable version, so it also counts failures that both versions share.
    Sample worstRecentRoute;
    Sample candidate; // totals over all closed batches
    Sample stable;
    bool operator==(const EvidenceSummary&) const = default;
};

// Decision thresholds, on the natural logarithm of a test's evidence that the candidate is worse.
struct EvidenceOptions {
    double decisionThreshold { 9.2 }; // ln(10,000): at most one false positive in 10,000 for each test
    double supportThreshold { 3.0 }; // evidence that the comparison test must show before the rate test may decide
};

// Holds the sequential tests of one move. Counts are added to the current batch; closing the batch runs the tests on
// it. Thread safety: confined to one event loop thread.
class EvidenceAggregator {
public:
    EvidenceAggregator(std::string candidate, std::string stable, EvidenceOptions options = {});

    // Adds the counts of one report, which covers the time since the previous one, to the current batch. Cells of
    // versions other than the candidate and the stable one are ignored.
    void add(const std::vector<wire::EvidenceCell>& cells);
    // Runs the tests on the current batch and starts a new one. Must be called at a constant period.
    void closeBatch();
    // Returns the verdict over all closed batches.
    EvidenceSummary summary() const;

private:
    enum class Measure { Failures, Latency };
    struct TestKey {
        wire::EvidenceDimension::type dimension;
        std::string value;
        Measure measure;
        auto operator<=>(const TestKey&) const = default;
    };
    // The tests of one measure on one route or client account, and the counts behind them.
    struct SeriesTests {
        SequentialTest comparison { 1.25 };
        RateTest rate;
        Sample candidate;
        Sample stable;
        std::map<std::string, int64_t> faultsByDataCentre; // candidate faults by data centre of the target
        std::map<std::string, std::pair<Sample, Sample>> uncompared; // candidate and stable, by data centre
    };
    struct LatencyHistogram {
        std::map<int16_t, int64_t> buckets;
        int64_t total { 0 };
    };
    struct Batch {
        Sample candidate;
        Sample stable;
        std::map<int16_t, int64_t> candidateLatency;
        std::map<int16_t, int64_t> stableLatency;
    };
    struct BatchKey {
        wire::EvidenceDimension::type dimension;
        std::string value;
        std::string dataCentre;
        auto operator<=>(const BatchKey&) const = default;
    };

    static void addToBatch(Batch& batch, const wire::EvidenceCell& cell, bool isCandidate);
    void addToTests(const TestKey& key, const std::string& dataCentre, const Sample& candidate, const Sample& stable);
    static bool isSpreadOverDataCentres(const SeriesTests& tests);
    void addLatencyToTests(const BatchKey& key, const Batch& batch);
    Sample worstRecentRoute() const;
    bool isSpreadOverTargets(Measure measure) const;
    std::string describe(const TestKey& key, const SeriesTests& tests) const;

    std::string m_candidate;
    std::string m_stable;
    EvidenceOptions m_options;
    std::map<BatchKey, Batch> m_openBatches;
    std::map<TestKey, SeriesTests> m_tests;
    std::map<std::string, LatencyHistogram> m_latencyBaselines; // latencies of earlier batches, by route
    std::map<std::string, Sample> m_candidateByTarget;
    std::deque<std::map<std::string, Sample>> m_recentBatches; // candidate calls of the last batches, by route
    Sample m_candidateTotal;
    Sample m_stableTotal;
};

// Sums the cells that agree in service, version, dimension, value and data centre, so that the size of a relayed report
// does not grow with the number of nodes. Thread safety: pure.
std::vector<wire::EvidenceCell> mergeCells(const std::vector<wire::EvidenceCell>& cells);

} // namespace pomelowind::moves
