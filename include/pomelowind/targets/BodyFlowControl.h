// Flow control for large request bodies. The node beside a target uses it to decide which bodies the callers' nodes may
// send to its host now. Pure decision logic without I/O.
//
// Large bodies can saturate the link of the host: if all are sent at once, each arrives too late and every small call
// to the host queues behind them. Therefore only a bounded number of bytes is in flight at a time, other bodies wait at
// their senders, and a body that would arrive too late is refused before any byte of it is sent.
#pragma once

#include "pomelowind/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace pomelowind::targets {

// Thread safety: confined to the calls event loop.
class BodyFlowControl {
public:
    BodyFlowControl();
    // Order in which body transfers are permitted: calls that can still meet their latency objective come first.
    enum class Lane { InTime, Late };

    // Returns true if a body of `bytes` that is queued in `lane` now is expected to arrive completely within `left`.
    bool canArriveInTime(size_t bytes, base::Millis left, Lane lane) const;
    // Adds a body to the queue of `lane`. Precondition: `id` is neither queued nor in flight.
    void enqueue(uint64_t id, size_t bytes, Lane lane);
    // Returns the bodies that may be sent now, and counts them as in flight. Each body is returned once.
    std::vector<uint64_t> grant(base::Instant now);
    // Records that `bytes` of a granted body have arrived. Ignored for unknown bodies.
    void onBytesReceived(uint64_t id, size_t bytes, base::Instant now);
    // Removes a body whose remaining bytes will not arrive. Ignored for complete and unknown bodies.
    void remove(uint64_t id);

    // Returns the granted bytes that have not arrived yet.
    size_t bytesInFlight() const { return m_bytesInFlight; }

private:
    struct Body {
        size_t remaining { 0 }; // bytes that have not arrived
        Lane lane { Lane::InTime };
        bool isGranted { false };
    };

    void updateRate(size_t bytes, base::Instant now);

    // Bodies of a lane that are not granted yet. The ids of removed bodies stay until grant() reaches and skips them.
    struct LaneQueue {
        std::deque<uint64_t> ids;
        size_t bytes { 0 };
    };
    LaneQueue& queueOf(Lane lane) { return lane == Lane::InTime ? m_inTimeQueue : m_lateQueue; }

    std::unordered_map<uint64_t, Body> m_bodies;
    LaneQueue m_inTimeQueue;
    LaneQueue m_lateQueue;
    size_t m_bytesInFlight { 0 };
    double m_bytesPerMs; // estimated throughput of the link
    base::Instant m_measuredSince; // start of the current measurement, during which bodies are always in flight
    size_t m_measuredBytes { 0 }; // arrived since then
};

} // namespace pomelowind::targets
