// Feeds configuration to subscribers: admits them at a bounded rate, sends each the delta from what it has, and
// remembers what each acknowledged. Control hosts and relay nodes use the same feeder. A decision class without I/O.
#pragma once

#include "pomelowind/base/TokenBucket.h"
#include "pomelowind/config/ConfigState.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::nodes {

// Bounds of a feeder.
struct FeederOptions {
    // 580 nodes on 7 control hosts, one of which is down.
    size_t children { 128 };
    // After all processes were killed a feeder's nodes come within a moment. A state of 1,400 routes takes some 40 kB,
    // so a burst of this size passes a link of 170 Mbit/s in about 0.1 s.
    double admissionsPerSecond { 200 };
    double admissionBurst { 64 };
    base::Millis childLease { 3000 };
};

// The answer to a subscription.
struct Admission {
    bool admitted { false };
    base::Millis retryAfter { 0 };
};

// A packed delta for one subscriber, made once for all that have the same base.
struct Feed {
    std::string child;
    std::shared_ptr<const std::string> delta;
};

// Thread safety: confined to one duty.
class Feeder {
public:
    Feeder(FeederOptions options, base::Instant now);

    // Takes a subscriber that runs version `base`, or tells it when to come again.
    Admission subscribe(const wire::NodeInfo& node, int64_t base, base::Instant now);
    // The link to a subscriber has closed. It keeps its lease, in which it may come back or go elsewhere.
    void disconnected(const std::string& child, base::Instant now);
    // A subscriber asks for the whole state, because a delta did not fit.
    void resync(const std::string& child);
    // The state to feed. Versions only increase; an older one is ignored.
    void publish(std::shared_ptr<const config::ConfigState> state);
    // Deltas to send now; each is returned once.
    std::vector<Feed> takeFeeds();
    // Subscribers whose lease has passed since they disconnected; they are forgotten.
    std::vector<wire::NodeInfo> takeExpired(base::Instant now);

    std::vector<std::string> connected() const;
    const std::shared_ptr<const config::ConfigState>& state() const { return m_state; }

private:
    struct Child {
        wire::NodeInfo node;
        int64_t sent { 0 };
        bool isConnected { true };
        base::Instant disconnectedAt;
    };

    FeederOptions m_options;
    base::TokenBucket m_admissions;
    std::shared_ptr<const config::ConfigState> m_state;
    std::map<int64_t, std::shared_ptr<const std::string>> m_packed; // deltas to m_state, by base
    std::map<std::string, Child> m_children;
};

} // namespace pomelowind::nodes
