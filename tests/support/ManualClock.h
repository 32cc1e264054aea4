// Clock that advances only when a test says so.
#pragma once

#include "pomelowind/base/Time.h"

namespace pomelowind::tests {

// Thread safety: confined to the test's thread.
class ManualClock final : public base::Clock {
public:
    base::Instant now() const override { return m_now; }
    int64_t wallMs() const override { return base::toMillis(m_now.time_since_epoch()); }
    void advance(base::Millis by) { m_now += by; }

private:
    base::Instant m_now { std::chrono::hours(1) };
};

} // namespace pomelowind::tests
