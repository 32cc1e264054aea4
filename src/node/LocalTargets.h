// Targets of this host, each behind its admission controller (Gate). Every call to them, of this host's callers or of
// other nodes, goes through this class.
#pragma once

#include "DistributionCore.h"
#include "PeerCalls.h"
#include "RunningCalls.h"
#include "pomelowind/http/HttpClient.h"
#include "pomelowind/node/CallProtocol.h"
#include "pomelowind/targets/AcceptedRate.h"
#include "pomelowind/targets/BodyFlowControl.h"
#include "pomelowind/targets/ColdState.h"
#include "pomelowind/targets/CrashDetector.h"
#include "pomelowind/targets/Gate.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace pomelowind::node {

// Receives the id and the incarnation of a target that has said in a response that it leaves.
using LeavingListener = std::function<void(const std::string& target, int64_t incarnation)>;

// Receives a crash of a target of this host, with the fingerprints of the calls that ran there.
using CrashListener = std::function<void(wire::TargetCrash crash)>;

// Admits, queues and runs calls. Thread safety: confined to the calls event loop.
class LocalTargets {
public:
    LocalTargets(boost::asio::io_context& io, const NodeSettings& settings, const CallProtocol& protocol,
        const base::Clock& clock, base::MemoryBudgetPtr bodyMemory);

    // Replaces the list of announced targets. Targets that are no longer listed are dropped once their calls have
    // ended.
    void update(const std::vector<Announcement>& targets);
    bool has(const std::string& target) const { return m_targets.count(target) > 0; }
    // Runs or queues a call at its target, or refuses it as not run. `done` is called once, possibly before call()
    // returns. Returns an id for cancel(). A call with laterBytes that is not refused at once has a queue slot at the
    // gate and runs after receiveBodyPart() has completed its body; `onGranted` is called when that body may be sent.
    // `body` is the body of a call that was received by this host; null when the request holds it.
    uint64_t call(wire::CallRequest request, BodyPtr body, std::function<void()> onGranted, CallCallback done);
    // Appends the next part of a call's body. Parts of calls that have ended are dropped. Throws UserError(Protocol)
    // when the body exceeds the announced length.
    void receiveBodyPart(uint64_t id, std::string_view part);
    // Cancels a call whose body is incomplete and will not be completed. Its `done` is not called. No effect on calls
    // with a complete body.
    void cancelIncomplete(uint64_t id);
    // Removes a queued call, or closes the target's connection of a running one. Its `done` is not called.
    void cancel(uint64_t id);
    // Sets the function that is called once for each target that has said in a response that it leaves.
    void setLeavingListener(LeavingListener listener) { m_onLeaving = std::move(listener); }
    // Sets the function that learns of crashes of targets of this host.
    void setCrashListener(CrashListener listener) { m_onCrashed = std::move(listener); }
    // Counts all targets as cold until an announcement received after `now` says that they are not. To be called when
    // calls return to the targets of this host after a time without any, as after an evacuation.
    void assumeCold(base::Instant now);
    const RunningCalls& runningCalls() const { return m_runningCalls; }
    // Refuses calls that have timed out and reports long-running ones to the gates. To be called every few
    // milliseconds.
    void sweep();
    // Refuses queued and new calls as not run, until openGates(); running ones continue. Gates are closed at the start.
    void closeGates(const std::string& reason);
    void openGates();
    // An evacuation of this host's data centre has ended; called before openGates(). What was known before about the
    // targets, such as that they are warm, may be out of date.
    void onEvacuationEnded();
    // Returns when the last evacuation of this host's data centre ended, as far as this process knows; empty: never.
    std::optional<base::Instant> evacuationEndedAt() const { return m_evacuationEndedAt; }
    // Calls that were refused because the gates were closed.
    uint64_t refusedAtClosedGates() const { return m_refusedAtClosedGates; }
    // Number of calls that run at targets now.
    size_t runningCount() const;
    // Refuses new calls with a later deadline than this.
    void setLastDeadline(base::Instant lastDeadline) { m_lastDeadline = lastDeadline; }
    // Refuses queued and new calls; running ones continue.
    void startDraining();
    // The same, and ends the running ones by closing their connections; each is answered before this returns.
    void endCalls();
    // Number of calls, running or queued.
    size_t callCount() const { return m_calls.size(); }
    // Calls sent to targets since the start.
    uint64_t sentCalls() const { return m_sentCalls; }
    // Crashes of targets since the start.
    uint64_t crashes() const { return m_crashes; }
    // Calls per second that the targets of this host say they accept; 0 if none names a limit.
    double maxCallsPerSecond() const;
    // Calls refused since the start because their target is cold.
    uint64_t refusedByCold() const { return m_refusedByCold; }
    // Targets that are cold now and accept a limited number of calls per second.
    int coldTargets() const;

private:
    // Calls at a target since the last line about its load.
    struct LoadCounts {
        int sent { 0 };
        int nested { 0 }; // of these, the nested ones
        int refused { 0 };
        base::Instant since;
    };
    struct Target {
        Announcement announcement;
        targets::TargetNotice notice; // as of the last response
        targets::AcceptedRate acceptedRate;
        targets::CrashDetector crashDetector;
        LoadCounts load;
        std::unique_ptr<targets::Gate> gate;
        std::shared_ptr<http::HttpClient> client;
        targets::ColdState cold;
        bool loggedCold { false };
        bool isDraining { false };
    };
    struct Call {
        std::string target;
        wire::CallRequest request; // collects the body while its parts arrive
        BodyPtr body; // set once it is complete
        CallCallback done;
        base::Instant started;
        base::Instant deadline;
        std::optional<base::Instant> objective;
        std::shared_ptr<http::Exchange> exchange;
        bool running { false };
        base::MemoryReservation bodyReservation;
        std::function<void()> onGranted; // unset once the body is granted
        base::Instant bodyDeadline; // deadline for the next part of a granted body; unset when the body is complete
        base::Millis longRunThreshold { 0 }; // service time from which the gate is told again that the call runs long
    };

    void run(uint64_t id);
    void applyGateStep(Target& target, const targets::GateStep& step);
    void onNotice(Target& target, const targets::TargetNotice& notice, base::Instant sentAt);
    void drain(Target& target);
    void updateCold(Target& target, const Announcement& announcement, bool isNew);
    void assumeCold(Target& target, base::Instant trustedFrom);
    void suspectRestart(Target& target, const http::ExchangeResult& result);
    void applyHeardColdRate(Target& target, const wire::CallRequest& request);
    const char* overloadReason(const Target& target);
    void logCold(base::Instant now);
    void watchForCrash(Target& target, const Call& call, const http::ExchangeResult& result);
    void onCrashed(const Target& target, const std::vector<targets::BrokenCall>& calls, const char* evidence);
    void logLoad(base::Instant now);
    void reportLongRuns(base::Instant now);
    targets::BodyFlowControl::Lane laneOf(const Call& call) const;
    bool admitBody(Call& call);
    void grantBodies();
    void refuseStalledBodies(base::Instant now);
    void refuse(uint64_t id, const std::string& reason);
    void onExchangeEnded(uint64_t id, http::ExchangeResult result);
    void addLoadReport(const Call& call, wire::CallAnswer& answer) const;

    boost::asio::io_context& m_io;
    const NodeSettings& m_settings;
    const CallProtocol& m_protocol;
    const base::Clock& m_clock;
    base::MemoryBudgetPtr m_bodyMemory;
    std::map<std::string, std::shared_ptr<Target>> m_targets;
    std::unordered_map<uint64_t, Call> m_calls;
    targets::BodyFlowControl m_bodyFlowControl;
    RunningCalls m_runningCalls;
    LeavingListener m_onLeaving;
    std::optional<base::Instant> m_lastDeadline;
    CrashListener m_onCrashed;
    std::string m_closedReason; // empty: the gates are open
    std::optional<base::Instant> m_evacuationEndedAt;
    uint64_t m_refusedAtClosedGates { 0 };
    uint64_t m_nextId { 1 };
    uint64_t m_sentCalls { 0 };
    uint64_t m_crashes { 0 };
    uint64_t m_refusedByCold { 0 };
};

} // namespace pomelowind::node
