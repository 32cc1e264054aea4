// Collects the evidence of one move by route, client account and target, and says whether the new version is bad.
// Control hosts keep one with the evidence of all nodes; each node keeps one with its own, for local protection.
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

// Latency is counted in buckets of half an octave of microseconds. Thread safety: pure.
int16_t latencyBucket(int64_t micros);

// What the evidence says at one moment.
struct EvidenceSummary {
    bool isBad { false };
    std::string reason; // the finding, for operators
    double logEvidence { 0 }; // of the strongest test
    // Calls on the candidate in the last batches, on the route where most of them failed, whatever the stable version
    // does meanwhile.
    Sample recentWorst;
    Sample candidate; // all calls so far
    Sample stable;
    bool operator==(const EvidenceSummary&) const = default;
};

// How sure to be. The thresholds are on the natural logarithm of the evidence.
struct EvidenceOptions {
    double decideAt { 9.2 }; // one false finding in 10,000 for each test
    double supportAt { 3.0 }; // the comparison has to support what the rate test finds
};

// Thread safety: confined to one duty.
class EvidenceBook {
public:
    EvidenceBook(std::string candidate, std::string stable, EvidenceOptions options = {});

    // Takes counts since the last report; those of other versions are ignored.
    void add(const std::vector<wire::EvidenceCell>& cells);
    // Closes the present batch and feeds the tests. To be called at a steady period.
    void closeBatch();
    EvidenceSummary summary() const;

private:
    enum class Measure { Failures, Latency };
    struct Key {
        wire::EvidenceDimension::type dimension;
        std::string value;
        Measure measure;
        auto operator<=>(const Key&) const = default;
    };
    struct Tests {
        SequentialTest comparison { 1.25 };
        RateTest rate;
        Sample candidate;
        Sample stable;
        std::map<std::string, int64_t> faultsByCentre; // of the candidate, by data centre of the target
        std::map<std::string, std::pair<Sample, Sample>> open; // candidate and stable calls not yet compared
    };
    struct Histogram {
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

    static void addTo(Batch& batch, const wire::EvidenceCell& cell, bool isCandidate);
    void feed(const Key& key, const std::string& dataCentre, const Sample& candidate, const Sample& stable);
    static bool isSpreadOverCentres(const Tests& tests);
    void feedLatency(const BatchKey& key, const Batch& batch);
    Sample recentWorst() const;
    bool isSpreadOverTargets(Measure measure) const;
    std::string describe(const Key& key, const Tests& tests) const;

    std::string m_candidate;
    std::string m_stable;
    EvidenceOptions m_options;
    std::map<BatchKey, Batch> m_batch;
    std::map<Key, Tests> m_tests;
    std::map<std::string, Histogram> m_stableLatency; // by route
    std::map<std::string, Sample> m_candidateTargets;
    std::deque<std::map<std::string, Sample>> m_recent; // of the candidate, by batch and route
    Sample m_candidateTotal;
    Sample m_stableTotal;
};

// Adds up cells of the same kind, so that a report's size does not grow with the number of nodes. Thread safety: pure.
std::vector<wire::EvidenceCell> mergeCells(const std::vector<wire::EvidenceCell>& cells);

} // namespace pomelowind::moves
