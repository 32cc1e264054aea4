#include "ColdReturnSim.h"

#include "pomelowind/base/Random.h"
#include "pomelowind/targets/Balancer.h"
#include "pomelowind/targets/ColdState.h"
#include "pomelowind/targets/Gate.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

namespace pomelowind::tests {

using base::Instant;
using base::Micros;
using base::Millis;

namespace {

    constexpr int DATA_CENTRES = 3;
    constexpr int SLOTS = 8;
    constexpr double MEAN_SERVICE_MS = 150;
    constexpr auto OBJECTIVE = Millis(400);
    constexpr auto DEADLINE = Millis(1200);
    constexpr auto HEARTBEAT_PERIOD = Millis(1500);
    constexpr auto SWEEP_PERIOD = Millis(5);
    constexpr auto RETURN_AT = Millis(2500);
    constexpr double CROSSING_MS_PER_KILOBYTE = 60; // as in platform/node.yaml
    constexpr size_t RESPONSE_BYTES = 2048;
    constexpr int MAX_REFUSALS = 3;
    constexpr int REFUSALS_BEFORE_QUEUEING = 2;
    constexpr auto SHARE_WINDOW = Millis(1000);
    constexpr double FULL_SHARE = 0.95;
    const Instant T0 = Instant() + std::chrono::hours(1);

    struct SimCall {
        int node;
        Instant arrivedAt;
        int refusals { 0 };
        std::set<std::string> tried;
        Millis serviceTime { 0 };
        int target { 0 };
        Instant startedAt;
    };
    using SimCallPtr = std::shared_ptr<SimCall>;

}

struct ColdReturnSim::Impl {
    struct Node {
        std::unique_ptr<targets::Balancer> balancer;
        nodes::TargetList view;
        Instant viewAt; // when the list was sent
        double callsPerSecond;
    };
    struct Target {
        std::unique_ptr<targets::Gate> gate;
        targets::ColdState state;
        Instant coldFrom, coldUntil; // of the target itself
        Instant publishedUntil;
        wire::Presence presence;
        std::vector<Instant> starts;
        std::map<uint64_t, SimCallPtr> waiting;
    };
    struct Event {
        Instant at;
        uint64_t order;
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    explicit Impl(Options o)
        : options(o)
        , random(o.seed)
    {
        for (int i = 0; i < options.nodes; ++i)
            add(i);
        for (auto& it : nodes)
            it.view = published(false);
    }

    std::string dataCentre(int i) const { return std::string(1, static_cast<char>('a' + i % DATA_CENTRES)); }
    bool isReturning(int i) const { return i % DATA_CENTRES == 0; }
    Millis upTo(Millis most) { return Millis(static_cast<int64_t>(random.uniformReal() * double(most.count()))); }

    void add(int i)
    {
        Node node;
        node.balancer = std::make_unique<targets::Balancer>(
            dataCentre(i), options.seed * 1000 + uint64_t(i), targets::CrossingPrice { CROSSING_MS_PER_KILOBYTE });
        node.callsPerSecond = options.callsPerSecondAtNode * (0.7 + 0.65 * random.uniformReal());
        nodes.push_back(std::move(node));
        Target target;
        targets::GateOptions gate;
        gate.slots = SLOTS;
        gate.coldStart = Millis(0);
        target.gate = std::make_unique<targets::Gate>(gate, T0);
        target.gate->setColdRate(options.coldCallsPerSecond);
        // The targets of the returning data centre become cold within two seconds before the return.
        target.coldFrom = isReturning(i) ? T0 + RETURN_AT - upTo(Millis(2000)) : Instant();
        target.coldUntil = isReturning(i) ? target.coldFrom + options.coldStart : Instant();
        target.state.onAnnounced(Millis(0), options.coldStart, T0);
        target.presence.target = "t" + std::to_string(i);
        target.presence.node = "n" + std::to_string(i);
        target.presence.serviceName = "s";
        target.presence.version = "v1";
        target.presence.dataCentre = dataCentre(i);
        target.presence.state = wire::TargetState::SERVING;
        target.presence.slots = SLOTS;
        target.presence.incarnation = 1;
        targets.push_back(std::move(target));
    }

    void at(Instant when, std::function<void()> run) { events.push({ when, nextOrder++, std::move(run) }); }

    // Returns the presence of all targets as of now, without the evacuated ones before the return.
    nodes::TargetList published(bool hasReturned) const
    {
        nodes::TargetList out;
        for (size_t i = 0; i < targets.size(); ++i) {
            if (!hasReturned && isReturning(static_cast<int>(i)))
                continue;
            out.push_back(targets[i].presence);
            auto left = std::chrono::duration_cast<Millis>(targets[i].publishedUntil - now).count();
            out.back().coldLeftMs = static_cast<int32_t>(std::max<int64_t>(0, left));
        }
        return out;
    }

    // ---- presence ----

    void publish(Target& target)
    {
        auto until = target.state.until();
        target.publishedUntil = until == Instant::max() ? now + options.coldStart : until;
        ++target.presence.sequence;
        isDirty = true;
    }

    // Brings all nodes the current presence, as a tree of control hosts does, each after a delay of its own.
    void spread()
    {
        at(now + Millis(100), [this] { spread(); });
        if (now < T0 + RETURN_AT || !std::exchange(isDirty, false))
            return;
        auto list = std::make_shared<nodes::TargetList>(published(true));
        auto sentAt = now;
        for (auto& node : nodes) {
            at(now + Millis(20) + upTo(Millis(180)), [this, &node, list, sentAt] {
                if (node.viewAt > sentAt)
                    return;
                node.viewAt = sentAt;
                node.view = *list;
                // The remaining time counts from the receipt.
                if (options.balancing == Balancing::Aware)
                    node.balancer->setCold(node.view, now, { { "s", options.coldCallsPerSecond } });
            });
        }
    }

    void heartbeat(Target& target)
    {
        Millis left(now >= target.coldFrom && now < target.coldUntil
                ? std::chrono::ceil<Millis>(target.coldUntil - now).count()
                : 0);
        at(now + upTo(Millis(300)), [this, &target, left] {
            target.state.onAnnounced(left, options.coldStart, now);
            target.gate->setColdUntil(target.state.until());
            auto until = target.state.until() == Instant::max() ? now + options.coldStart : target.state.until();
            if (targets::mustPublishCold(target.publishedUntil, until, now))
                publish(target);
        });
        at(now + HEARTBEAT_PERIOD, [this, &target] { heartbeat(target); });
    }

    void returnDataCentre()
    {
        for (size_t i = 0; i < targets.size(); ++i) {
            if (!isReturning(static_cast<int>(i)))
                continue;
            auto& target = targets[i];
            target.state.assume(now, now);
            target.gate->setColdUntil(target.state.until());
            publish(target);
        }
    }

    // ---- calls ----

    void arrive(int node)
    {
        auto& it = nodes[size_t(node)];
        double gapMs = -std::log(1 - random.uniformReal()) * 1000 / it.callsPerSecond;
        at(now + Micros(static_cast<int64_t>(gapMs * 1000)), [this, node] { arrive(node); });
        auto call = std::make_shared<SimCall>();
        call->node = node;
        call->arrivedAt = now;
        call->serviceTime = Millis(static_cast<int64_t>(-std::log(1 - random.uniformReal()) * MEAN_SERVICE_MS) + 1);
        if (now >= T0 + RETURN_AT)
            ++result.calls;
        dispatch(call);
    }

    void dispatch(const SimCallPtr& call)
    {
        auto& node = nodes[size_t(call->node)];
        targets::PlacementRequest request { "k", 0,
            std::chrono::duration_cast<Millis>(call->arrivedAt + OBJECTIVE - now) };
        auto placement = node.balancer->choose(node.view, "s", { "v1", {} }, call->tried, now, request);
        if (!placement) {
            refuseCall();
            return;
        }
        call->tried.insert(placement->target.target);
        call->target = std::stoi(placement->target.target.substr(1));
        node.balancer->onAttemptStarted(placement->target.target);
        at(now + delay(*call), [this, call] { reachGate(call); });
    }

    Micros delay(const SimCall& call)
    {
        bool isLocal = call.node % DATA_CENTRES == call.target % DATA_CENTRES;
        return Micros(isLocal ? 1000 : 8000) + std::chrono::duration_cast<Micros>(upTo(Millis(3)));
    }

    void refuseCall()
    {
        if (now >= T0 + RETURN_AT)
            ++result.callsRefused;
    }

    void reachGate(const SimCallPtr& call)
    {
        auto& target = targets[size_t(call->target)];
        targets::GateCall it;
        it.id = nextId++;
        it.account = it.kind = "k";
        it.deadline = call->arrivedAt + DEADLINE;
        it.objective = call->arrivedAt + OBJECTIVE;
        it.typicalServiceTime = Millis(static_cast<int64_t>(MEAN_SERVICE_MS));
        it.mayQueue = call->refusals >= REFUSALS_BEFORE_QUEUEING;
        std::optional<uint64_t> shed;
        target.waiting[it.id] = call;
        auto verdict = target.gate->admit(it, now, shed);
        if (shed)
            refuse(target, *shed);
        if (verdict == targets::GateVerdict::Run)
            start(target, it.id);
        else if (verdict != targets::GateVerdict::Queued)
            refuse(target, it.id);
    }

    void apply(Target& target, const targets::GateStep& step)
    {
        for (auto id : step.refuse)
            refuse(target, id);
        for (auto id : step.run)
            start(target, id);
    }

    void start(Target& target, uint64_t id)
    {
        auto call = target.waiting.at(id);
        target.waiting.erase(id);
        target.starts.push_back(now);
        call->startedAt = now;
        if (now >= T0 + RETURN_AT && call->node % DATA_CENTRES != call->target % DATA_CENTRES)
            ++result.crossings;
        at(now + call->serviceTime, [this, call, &target] {
            apply(target, target.gate->finished("k", call->serviceTime, now));
            answer(call, false);
        });
    }

    void refuse(Target& target, uint64_t id)
    {
        auto call = target.waiting.at(id);
        target.waiting.erase(id);
        if (now >= T0 + RETURN_AT && target.gate->isColdLimited(now))
            ++result.attemptsRefused;
        answer(call, true);
    }

    void answer(const SimCallPtr& call, bool refused)
    {
        auto& target = targets[size_t(call->target)];
        targets::AttemptResult out;
        out.target = target.presence.target;
        out.refused = refused;
        out.inFlight = target.gate->running();
        out.queued = target.gate->queued();
        out.kind = "k";
        out.typicalServiceTime = Micros(static_cast<int64_t>(target.gate->typicalMs("k") * 1000));
        out.serviceTime = call->serviceTime;
        out.responseBytes = refused ? 0 : RESPONSE_BYTES;
        out.retryAfter = refused ? target.gate->retryAfter(now) : Millis(0);
        out.cold = target.gate->isColdLimited(now);
        at(now + delay(*call), [this, call, out] {
            nodes[size_t(call->node)].balancer->onAttemptEnded(out, now);
            if (!out.refused)
                return;
            if (++call->refusals > MAX_REFUSALS || now >= call->arrivedAt + DEADLINE)
                return refuseCall();
            dispatch(call);
        });
    }

    void sweep()
    {
        at(now + SWEEP_PERIOD, [this] { sweep(); });
        for (auto& it : targets) {
            if (it.gate->queued())
                apply(it, it.gate->sweep(now));
        }
    }

    // ---- the run ----

    Result run()
    {
        now = T0;
        for (int i = 0; i < options.nodes; ++i)
            at(T0 + upTo(Millis(50)), [this, i] { arrive(i); });
        for (auto& it : targets)
            at(T0 + upTo(HEARTBEAT_PERIOD), [this, &it] { heartbeat(it); });
        at(T0 + RETURN_AT, [this] { returnDataCentre(); });
        at(T0 + RETURN_AT, [this] { spread(); });
        at(T0, [this] { sweep(); });
        while (!events.empty() && events.top().at < T0 + RETURN_AT + options.after) {
            auto event = events.top();
            events.pop();
            now = event.at;
            event.run();
        }
        for (int i = 0; i < options.nodes; i += DATA_CENTRES)
            result.mostInOneSecond = std::max(result.mostInOneSecond, mostWhileCold(targets[size_t(i)]));
        measureReturn();
        return result;
    }

    // Counts in every closed span of one second that lies in the target's cold time after the return.
    int mostWhileCold(const Target& target) const
    {
        int most = 0;
        auto from = std::max(target.coldFrom, T0 + RETURN_AT);
        for (size_t first = 0, last = 0; last < target.starts.size(); ++last) {
            if (target.starts[last] < from || target.starts[last] > target.coldUntil)
                continue;
            while (target.starts[first] < std::max(from, target.starts[last] - std::chrono::seconds(1)))
                ++first;
            most = std::max(most, static_cast<int>(last - first + 1));
        }
        return most;
    }

    void measureReturn()
    {
        double usual = 0; // calls per second of the data centre's own callers
        for (int i = 0; i < options.nodes; i += DATA_CENTRES)
            usual += nodes[size_t(i)].callsPerSecond;
        auto served = [&](Instant from, Instant to) {
            int out = 0;
            for (int i = 0; i < options.nodes; i += DATA_CENTRES) {
                const auto& starts = targets[size_t(i)].starts;
                out += static_cast<int>(std::lower_bound(starts.begin(), starts.end(), to)
                    - std::lower_bound(starts.begin(), starts.end(), from));
            }
            return out;
        };
        auto returnAt = T0 + RETURN_AT;
        result.coldServed = served(returnAt + Millis(500), returnAt + Millis(1500));
        for (auto t = returnAt; t + SHARE_WINDOW < T0 + RETURN_AT + options.after; t += Millis(100)) {
            double seconds = static_cast<double>(SHARE_WINDOW.count()) / 1000;
            if (served(t, t + SHARE_WINDOW) >= FULL_SHARE * usual * seconds) {
                result.untilFullShareMs = static_cast<int>(base::toMillis(t + SHARE_WINDOW - returnAt));
                break;
            }
        }
    }

    Options options;
    base::Random random;
    std::vector<Node> nodes;
    std::vector<Target> targets;
    std::priority_queue<Event> events;
    Instant now { T0 };
    bool isDirty { false };
    uint64_t nextOrder { 0 };
    uint64_t nextId { 1 };
    Result result;
};

ColdReturnSim::ColdReturnSim(Options options)
    : m_impl(std::make_unique<Impl>(options))
{
}

ColdReturnSim::~ColdReturnSim() = default;

ColdReturnSim::Result ColdReturnSim::run() { return m_impl->run(); }

} // namespace pomelowind::tests
