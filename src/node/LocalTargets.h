// The targets of this host behind their gates. Every call to them, from wherever it comes, passes here.
#pragma once

#include "DistributionCore.h"
#include "PeerCalls.h"
#include "RunningCalls.h"
#include "pomelowind/http/HttpClient.h"
#include "pomelowind/node/CallProtocol.h"
#include "pomelowind/targets/BodyIntake.h"
#include "pomelowind/targets/Gate.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace pomelowind::node {

// Thread safety: confined to the calls duty.
class LocalTargets {
public:
    LocalTargets(boost::asio::io_context& io, const NodeSettings& settings, const CallProtocol& protocol,
        const base::Clock& clock, base::MemoryBudgetPtr bodyMemory);

    // Takes the targets that have announced themselves; others are forgotten once idle.
    void update(const std::vector<Announcement>& targets);
    bool has(const std::string& target) const { return m_targets.count(target) > 0; }
    // Runs a call on its target, or refuses it as not run. `done` is called once. Returns an id for cancel(). A call
    // with laterBytes that is not refused at once has a place at the gate and runs when bodyPart() has completed it.
    // `body` is the call's body when it was taken on this host; otherwise the request holds it.
    // `granted` is called when the body of a call with laterBytes may be sent.
    uint64_t call(wire::CallRequest request, BodyPtr body, std::function<void()> granted, CallDone done);
    // The next part of a call's body. Parts of calls that have ended meanwhile are dropped.
    void bodyPart(uint64_t id, std::string_view part);
    // The rest of the call's body will not come: it leaves the gate as not run, and `done` is not called.
    void dropIncomplete(uint64_t id);
    // Nobody waits for the call any more: it leaves the queue, or its target is told by a closed connection.
    void cancel(uint64_t id);
    const RunningCalls& runningCalls() const { return m_running; }
    void sweep();
    // Refuses new calls; those that run go on.
    void leave();
    size_t running() const { return m_calls.size(); }

private:
    struct Target {
        Announcement announcement;
        std::unique_ptr<targets::Gate> gate;
        std::shared_ptr<http::HttpClient> client;
        bool isLeaving { false };
    };
    struct Call {
        std::string target;
        wire::CallRequest request; // collects the body while its parts arrive
        BodyPtr body; // once it is whole
        CallDone done;
        base::Instant started;
        base::Instant deadline;
        std::optional<base::Instant> objective;
        std::shared_ptr<http::Exchange> exchange;
        bool running { false };
        base::MemoryLease bodyLease;
        std::function<void()> granted; // until the body is granted
        base::Instant bodyDue; // when the next part of a granted body must have come; unset when the body is whole
        base::Millis longFrom { 0 }; // run time from which the gate is told again that it runs long
    };

    void run(uint64_t id);
    void carryOut(Target& target, const targets::GateStep& step);
    void noticeLongRuns(base::Instant now);
    targets::BodyIntake::Lane laneOf(const Call& call) const;
    bool mayTakeBody(Call& call);
    void grantBodies();
    void refuseStalledBodies(base::Instant now);
    void refuse(uint64_t id, const std::string& reason);
    void exchanged(uint64_t id, http::ExchangeResult result);
    void addLoad(const Call& call, wire::CallAnswer& answer) const;

    boost::asio::io_context& m_io;
    const NodeSettings& m_settings;
    const CallProtocol& m_protocol;
    const base::Clock& m_clock;
    base::MemoryBudgetPtr m_bodyMemory;
    std::map<std::string, std::shared_ptr<Target>> m_targets;
    std::unordered_map<uint64_t, Call> m_calls;
    targets::BodyIntake m_intake;
    RunningCalls m_running;
    uint64_t m_nextId { 1 };
};

} // namespace pomelowind::node
