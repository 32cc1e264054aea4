// A ControlCore that is the only voter of its group. Its disk writes complete at once, so each submission is applied
// before submit() returns.
#pragma once

#include "control/ControlCore.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pomelowind::tests {

class SingleControlHost final : public control::ControlOutputs {
public:
    SingleControlHost()
    {
        settings.id = "c1";
        settings.members = { { "c1", { "10.0.0.1", 7000 } } };
        settings.claims = false;
        members::DurableState durable;
        durable.diskId = "disk";
        durable.snapshot = wire::SnapshotRecord();
        durable.snapshot->index = 1;
        durable.snapshot->term = 1;
        durable.snapshot->membership.voters = { "c1" };
        durable.hardState.term = 1;
        restart(std::move(durable));
    }

    // Starts the host from this state and waits until it leads.
    void restart(members::DurableState durable)
    {
        m_writes.clear();
        core = std::make_unique<control::ControlCore>(settings, std::move(durable), *this, now, WALL_MS, 1);
        for (int i = 0; i < 100 && !core->replica().hasCommittedInTerm(); ++i)
            advance(base::Millis(100));
    }

    void advance(base::Millis time)
    {
        now += time;
        core->tick(now, WALL_MS);
        completeWrites();
    }

    wire::CommandResult submit(wire::Command command)
    {
        wire::CommandResult out;
        core->submit(
            std::move(command), [&](const wire::CommandResult& result) { out = result; }, now, WALL_MS);
        completeWrites();
        return out;
    }

    void sendToMember(const std::string&, links::Kind, std::string) override { }
    void sendToNode(const std::string& node, links::Kind kind, std::string payload) override
    {
        sentToNodes.push_back({ node, kind, std::move(payload) });
    }
    void connectMember(const std::string&) override { }
    bool persist(control::DiskWork work) override
    {
        m_writes.push_back(std::move(work));
        return true;
    }

    struct NodeFrame {
        std::string node;
        links::Kind kind;
        std::string payload;
    };

    static constexpr int64_t WALL_MS = 1700000000000;
    control::ControlSettings settings;
    base::Instant now = base::Instant() + std::chrono::hours(1);
    std::unique_ptr<control::ControlCore> core;
    std::vector<NodeFrame> sentToNodes; // in order

private:
    void completeWrites()
    {
        while (!m_writes.empty()) {
            auto work = std::move(m_writes.front());
            m_writes.erase(m_writes.begin());
            control::DiskResult result;
            result.send = std::move(work.ready.messagesAfterPersist);
            result.snapshot = std::move(work.snapshot);
            if (!work.ready.entriesToAppend.empty()) {
                result.lastIndex = work.ready.entriesToAppend.back().index;
                result.lastTerm = work.ready.entriesToAppend.back().term;
            }
            core->handleDiskResult(std::move(result), now);
        }
    }

    std::vector<control::DiskWork> m_writes;
};

} // namespace pomelowind::tests
