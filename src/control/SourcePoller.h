// Polls the external source of templates and accounts on the leader and submits its updates to the log. At most one
// poll is in flight, and polls are asynchronous, so a slow source delays only its own updates.
#pragma once

#include "pomelowind/config/ConfigSource.h"

#include <functional>
#include <memory>

namespace pomelowind::control {

// Submits updates of a ConfigSource. Thread safety: confined to the decision thread.
class SourcePoller {
public:
    using Submit = std::function<void(wire::Command)>;

    // Precondition: `source` calls back on the thread that calls tick().
    SourcePoller(std::unique_ptr<config::ConfigSource> source, Submit submit)
        : m_source(std::move(source))
        , m_submit(std::move(submit))
    {
    }

    // Polls when this host leads and no poll is in flight. `after` is the highest sequence number accepted so far.
    void tick(bool isLeader, int64_t after)
    {
        if (!isLeader || m_pollInFlight)
            return;
        m_pollInFlight = true;
        m_source->poll(after, [this](std::optional<std::vector<config::SourceUpdate>> updates) {
            m_pollInFlight = false;
            if (!updates)
                return;
            for (const auto& it : *updates)
                m_submit(config::toCommand(it));
        });
    }

private:
    std::unique_ptr<config::ConfigSource> m_source;
    Submit m_submit;
    bool m_pollInFlight { false };
};

} // namespace pomelowind::control
