// Polls the outside source on the leader and submits what is new. One poll at a time: a slow source slows only itself.
#pragma once

#include "pomelowind/config/ConfigSource.h"

#include <functional>
#include <memory>

namespace pomelowind::control {

// Thread safety: confined to the decision duty.
class SourcePoller {
public:
    using Submit = std::function<void(wire::Command)>;

    // Precondition: `source` calls back on the duty that calls tick().
    SourcePoller(std::unique_ptr<config::ConfigSource> source, Submit submit)
        : m_source(std::move(source))
        , m_submit(std::move(submit))
    {
    }

    // Polls when this host leads and no poll is under way. `after` is the highest sequence accepted so far.
    void tick(bool leads, int64_t after)
    {
        if (!leads || m_polling)
            return;
        m_polling = true;
        m_source->poll(after, [this](std::optional<std::vector<config::SourceUpdate>> updates) {
            m_polling = false;
            if (!updates)
                return;
            for (const auto& it : *updates)
                m_submit(config::toCommand(it));
        });
    }

private:
    std::unique_ptr<config::ConfigSource> m_source;
    Submit m_submit;
    bool m_polling { false };
};

} // namespace pomelowind::control
