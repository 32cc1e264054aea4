// Which large bodies may be sent to this host now. A decision class without I/O.
//
// The load it answers is large bodies that together fill the host's link: sent all at once, each arrives too late, and
// every small call to the host waits behind them. So few bytes are on their way at a time, the others wait where they
// are, and a body that would arrive too late is refused before a byte of it is sent.
#pragma once

#include "pomelowind/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace pomelowind::targets {

// Thread safety: confined to the calls duty.
class BodyIntake {
public:
    BodyIntake();
    // Bodies of calls that can still meet their objective go before those that cannot.
    enum class Lane { InTime, Late };

    // True when a body of `bytes` that queues in `lane` now should be here within `left`.
    bool isInTime(size_t bytes, base::Millis left, Lane lane) const;
    // Takes a body into the queue. Precondition: `id` is not there.
    void queue(uint64_t id, size_t bytes, Lane lane);
    // The bodies that may be sent now; each is returned once.
    std::vector<uint64_t> grant(base::Instant now);
    // `bytes` of a granted body have arrived.
    void arrived(uint64_t id, size_t bytes, base::Instant now);
    // The rest of a body will not come. No effect when it is whole or unknown.
    void dropped(uint64_t id);

    size_t onTheWay() const { return m_onTheWay; }

private:
    struct Body {
        size_t rest { 0 };
        Lane lane { Lane::InTime };
        bool isGranted { false };
    };

    void learnRate(size_t bytes, base::Instant now);

    // Bodies of a lane that are not granted yet. Dropped ones are skipped when their turn comes.
    struct Waiting {
        std::deque<uint64_t> ids;
        size_t bytes { 0 };
    };
    Waiting& waitingIn(Lane lane) { return lane == Lane::InTime ? m_inTime : m_late; }

    std::unordered_map<uint64_t, Body> m_bodies;
    Waiting m_inTime;
    Waiting m_late;
    size_t m_onTheWay { 0 };
    double m_bytesPerMs;
    base::Instant m_busySince; // of the present period in which bodies have been on their way
    size_t m_busyBytes { 0 };
};

} // namespace pomelowind::targets
