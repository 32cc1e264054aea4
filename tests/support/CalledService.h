// A service on the nodes of a CallPathFixture in simulated time: callers at every node keep their connections and send
// calls at random moments, and its targets answer each call after a fixed time with the notice that the test chooses.
#pragma once

#include "CallPathFixture.h"
#include "ManualClock.h"
#include "pomelowind/base/Random.h"
#include "pomelowind/targets/TargetNotice.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::tests {

// A call that has reached a target.
struct ArrivedCall {
    base::Instant at;
    base::Instant sentAt; // when its caller sent it
    int node; // where its caller sent it
    // Since when callers at that node have got responses of this target with a notice; empty: the node has passed on
    // none, has been restarted or frozen since, or the target has stopped making any.
    std::optional<base::Instant> informedAt;
    std::string path;
    std::string body;
};

// A crash of a target.
struct TargetCrash {
    base::Instant at;
    int node; // beside the target
    std::vector<std::string> running; // ids of the calls that ran there, without the one that caused it
};

// Thread safety: confined to the test's thread.
class CalledService {
public:
    struct Options {
        int nodes { 3 };
        std::vector<int> targetsAt { 1, 2 };
        int slots { 8 };
        base::Millis serviceTime { 40 };
        uint64_t seed { 1 };
        int resends { 0 }; // how often callers send a refused call again, at once
        bool distinctPaths { false }; // each random call has a path of its own
        std::vector<std::string> services; // of the callers of each node; "s" where missing
        bool usesProductProtocol { false };
        base::Millis crashDelay { 0 }; // from the arrival of a crashing call to the crash
        base::Millis downTime { 2000 }; // from a target's crash to its next incarnation
        bool announcesStarts { true }; // false: a target that has started again does so with the next announce()
        double coldCallsPerSecond { 0 }; // of the service; 0: no limit
        bool gatesKnowColdRate { true }; // false: as if their nodes had no configuration yet
        base::Millis coldLeft { 0 }; // as the targets announce it at first
    };
    explicit CalledService(const Options& options);

    // Lets callers send about `callsPerSecond` calls for `duration`.
    void run(base::Millis duration, double callsPerSecond);
    // Sets what the target of node `i` says in its responses from now on.
    void setNotice(int i, const targets::TargetNotice& notice);
    // Lets all targets announce themselves with this remaining cold time.
    void announce(base::Millis coldLeft) { m_fixture.announce(coldLeft); }
    // Restarts node `i`, whose target goes on. The node forgets all that it knew.
    void restart(int i);
    // Stops node `i` from running, or lets it go on.
    void setFrozen(int i, bool frozen);
    // Sends one call to the idempotent route at node `i`, and returns its id.
    std::string send(int i, const std::string& path, const std::string& body);
    // Sends the call `id` once more at node `i`, and returns the new id.
    std::string sendAgain(int i, const std::string& id);
    // Lets the caller of the call `id` close its connection.
    void leave(const std::string& id) { m_calls.at(id).connection->close(); }
    // Returns the status with which the call `id` was answered: 0 while it has no answer, or none came.
    int statusOf(const std::string& id) const;
    // From now on, calls with this path and body of callers of the service "s" crash their targets; an empty path:
    // none.
    void setCrashing(const std::string& path, const std::string& body);
    // Lets the target of node `i` crash for another reason than a call.
    void crashTarget(int i) { crash(i, m_targets.at(i)); }
    // All crashes, in order.
    const std::vector<TargetCrash>& crashes() const { return m_crashes; }
    // Lets time pass in which nothing happens.
    void skip(base::Millis duration) { m_clock.advance(duration); }
    // Calls that the target of node `i` has got, in order.
    const std::vector<ArrivedCall>& arrivals(int i) const { return m_targets.at(i).arrivals; }
    // Number of callers' calls that were answered with `status` within `time`.
    int answered(int status, base::Millis time) const;
    // Calls without an answer yet.
    size_t openCalls() const { return m_open.size(); }
    base::Instant now() const { return m_clock.now(); }

private:
    struct Answer {
        base::Instant due;
        std::string id; // of the call
        std::string bytes;
    };
    // A connection of the target and the responses that it still owes on it.
    struct Served {
        size_t readBytes { 0 };
        std::vector<Answer> answers;
    };
    struct Target {
        std::string headers; // that state the notice
        std::map<int, base::Instant> informedNodes; // and since when
        std::vector<Served> served;
        std::vector<ArrivedCall> arrivals;
        std::optional<base::Instant> crashAt; // runs a crashing call
        std::optional<base::Instant> downUntil; // after a crash
    };
    struct Sent {
        base::Instant at;
        int node;
        RawConnectionPtr connection;
        int resendsLeft;
        std::string path;
        std::string body;
        int status { 0 }; // of the answer
    };
    struct Ended {
        int status;
        base::Millis time;
    };

    std::string send(int node, int resendsLeft, const std::string& path, const std::string& body);
    void readAnswers();
    void forgetInformed(int node);
    void serve(int node, Target& target);
    bool isCrashing(const ArrivedCall& call) const;
    void crash(int node, Target& target);
    RawConnectionPtr idleConnection(int node);

    Options m_options;
    ManualClock m_clock;
    base::Random m_random;
    CallPathFixture m_fixture;
    std::map<int, Target> m_targets;
    std::map<std::string, Sent> m_calls; // all that were sent, by request id
    std::vector<std::string> m_open; // ids of those without an answer
    std::map<int, std::vector<RawConnectionPtr>> m_idle; // by node
    std::vector<Ended> m_ended;
    std::vector<TargetCrash> m_crashes;
    std::string m_deadlyPath;
    std::string m_deadlyBody;
};

} // namespace pomelowind::tests
