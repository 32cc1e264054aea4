#include "Views.h"

#include "pomelowind/base/Json.h"
#include "pomelowind/moves/MoveMachine.h"

namespace pomelowind::control {

namespace {

    using nlohmann::json;
    using operators::View;

    // Nearly all calls take less. Calls that still run on a target are lost when the target stops earlier.
    constexpr int64_t SETTLE_TIME_MS = 1000;
    constexpr auto REACHABLE_WINDOW = base::Millis(6000);

    ViewResponse notFound(const std::string& kind, const std::string& name)
    {
        json body { { "error", "not_found" }, { "message", kind + " '" + name + "' does not exist" },
            { "remedy", "check its name with '" + kind + " list'" } };
        return { 404, base::jsonText(body) };
    }

    json sampleJson(const moves::Sample& sample) { return { { "calls", sample.calls }, { "failed", sample.faults } }; }

    json serviceJson(const wire::ServiceResource& it, int64_t version)
    {
        json out { { "name", it.name }, { "version", it.stable }, { "base_version", version } };
        if (!it.moveId.empty()) {
            out["move"] = it.moveId;
            out["candidate"] = it.candidate;
            out["candidate_permille"] = it.permille;
        }
        return out;
    }

    // The state of a move as shown to operators: its end state (done or rolled back), else "late" or "running".
    std::string displayedState(const wire::MoveRecord& move)
    {
        if (moves::isFinished(move))
            return moves::moveStateName(move.state);
        return move.late ? "late" : "running";
    }

    json moveJson(const ControlCore& core, const wire::MoveRecord& move)
    {
        json out { { "id", move.id }, { "service", move.serviceName }, { "from_version", move.fromVersion },
            { "to_version", move.toVersion }, { "answer", displayedState(move) },
            { "state", moves::moveStateName(move.state) }, { "share_permille", move.permille }, { "step", move.step },
            { "started_ms", move.startedMs }, { "deadline_ms", move.deadlineMs }, { "watch_ms", move.watchMs },
            { "late", move.late }, { "reason", move.reason }, { "asked_by", move.actor },
            { "expected_end_ms", moves::expectedEndMs(move, core.wallMs()) } };
        if (moves::isFinished(move)) {
            out["ended_ms"] = move.endedMs;
            out["on_time"] = move.state == wire::MoveState::DONE && move.endedMs <= move.deadlineMs;
        }
        auto evidence = core.moveDriver().evidence(move.id);
        out["evidence"] = { { "new", sampleJson(evidence.candidate) }, { "old", sampleJson(evidence.stable) },
            { "log_evidence", evidence.logEvidence }, { "strongest", evidence.reason } };
        return out;
    }

    json auditJson(const wire::AuditRecord& it)
    {
        return { { "index", it.index }, { "time_ms", it.timeMs }, { "actor", it.actor }, { "team", it.team },
            { "action", it.action }, { "subject", it.subject }, { "from_version", it.fromVersion },
            { "to_version", it.toVersion }, { "result", config::resultCodeName(it.code) }, { "message", it.message },
            { "request_id", it.requestId } };
    }

    json auditList(const ControlCore& core, size_t limit, bool onlyChanges)
    {
        json out = json::array();
        const auto& audit = core.machine().audit();
        for (auto it = audit.rbegin(); it != audit.rend() && out.size() < limit; ++it) {
            if (!onlyChanges || it->toVersion > it->fromVersion)
                out.push_back(auditJson(*it));
        }
        return out;
    }

    struct NodeTally {
        int known { 0 };
        int inForce { 0 };
        int unreachable { 0 };
        json missing = json::array();
    };

    void tallyNode(NodeTally& tally, const ControlCore& core, const wire::NodeInfo& node)
    {
        int64_t version = core.acks().acknowledgedVersionOf(node.node);
        bool reachable = core.acks().isReachable(node.node, core.now(), REACHABLE_WINDOW);
        ++tally.known;
        if (version >= core.machine().state().version()) {
            ++tally.inForce;
            return;
        }
        tally.unreachable += reachable ? 0 : 1;
        tally.missing.push_back({ { "node", node.node }, { "runs_version", version }, { "reachable", reachable },
            { "rejection", core.acks().rejectionOf(node.node) } });
    }

    json tallyJson(const NodeTally& it)
    {
        return { { "known", it.known }, { "in_force", it.inForce }, { "unreachable", it.unreachable },
            { "missing", it.missing } };
    }

    // Counts the nodes that have applied the last order to start or finish the evacuation of a data centre.
    json evacuationJson(const ControlCore& core, const std::string& dataCentre, int64_t version, bool isStarted)
    {
        int known = 0;
        int inForce = 0;
        json missing = json::array();
        for (const auto& node : core.directory().liveNodes()) {
            ++known;
            if (core.acks().acknowledgedVersionOf(node.node) >= version)
                ++inForce;
            else
                missing.push_back({ { "node", node.node }, { "data_centre", node.dataCentre },
                    { "reachable", core.acks().isReachable(node.node, core.now(), REACHABLE_WINDOW) } });
        }
        return { { "data_centre", dataCentre }, { "state", isStarted ? "started" : "finished" },
            { "base_version", version }, { "in_force", inForce }, { "known", known }, { "missing", missing },
            { "summary", "in force " + std::to_string(inForce) + " of " + std::to_string(known) } };
    }

    // The evacuations in force, and the finished ones that some node has not applied yet.
    json evacuationsJson(const ControlCore& core)
    {
        const auto& state = core.machine().state();
        json out = json::array();
        for (const auto& it : state.evacuatedDataCentres())
            out.push_back(evacuationJson(core, it, state.versionOf(config::evacuationKey(it)), true));
        const auto prefix = config::evacuationKey("");
        for (const auto& it : state.tombstones()) {
            if (it.key.rfind(prefix, 0) != 0)
                continue;
            auto item = evacuationJson(core, it.key.substr(prefix.size()), it.version, false);
            if (!item.at("missing").empty())
                out.push_back(std::move(item));
        }
        return out;
    }

    ViewResponse evacuationsView(const ControlCore& core, const std::string& name)
    {
        auto all = evacuationsJson(core);
        if (name.empty())
            return { 200, base::jsonText(all) };
        for (const auto& it : all) {
            if (it.at("data_centre") == name)
                return { 200, base::jsonText(it) };
        }
        return { 404,
            base::jsonText({ { "error", "not_found" }, { "message", "data centre '" + name + "' is not evacuated" },
                { "remedy", "list the evacuations with 'evacuate list'" } }) };
    }

    json statusJson(const ControlCore& core)
    {
        NodeTally all;
        std::map<std::string, NodeTally> byDataCentre;
        for (const auto& node : core.directory().liveNodes()) {
            tallyNode(all, core, node);
            tallyNode(byDataCentre[node.dataCentre], core, node);
        }
        json centres = json::object();
        for (const auto& [name, tally] : byDataCentre)
            centres[name] = tallyJson(tally);
        json targets = json::array();
        for (const auto& it : core.directory().liveTargets())
            targets.push_back({ { "target", it.target }, { "service", it.serviceName }, { "version", it.version },
                { "data_centre", it.dataCentre }, { "node", it.node }, { "state", static_cast<int>(it.state) },
                { "slots", it.slots } });
        const auto& replica = core.replica();
        return { { "version", core.machine().state().version() },
            { "hash", std::to_string(core.machine().state().hash()) }, { "nodes", tallyJson(all) },
            { "data_centres", centres }, { "evacuations", evacuationsJson(core) }, { "targets", targets },
            { "leader", replica.leader() }, { "term", replica.term() }, { "commit_index", replica.commitIndex() },
            { "fresh", replica.hasRecentState(core.now()) } };
    }

    json membersJson(const ControlCore& core)
    {
        const auto& replica = core.replica();
        return { { "voters", replica.membership().voters }, { "learners", replica.membership().learners },
            { "leader", replica.leader() }, { "term", replica.term() }, { "commit_index", replica.commitIndex() },
            { "last_index", replica.lastIndex() }, { "recovering", replica.isRecovering() } };
    }

    ViewResponse servicesView(const ControlCore& core, const std::string& name)
    {
        const auto& state = core.machine().state();
        json out = json::array();
        for (const auto* it : state.services()) {
            auto item = serviceJson(*it, state.versionOf(config::serviceKey(it->name)));
            if (it->name == name)
                return { 200, base::jsonText(item) };
            out.push_back(item);
        }
        return name.empty() ? ViewResponse { 200, base::jsonText(out) } : notFound("service", name);
    }

    ViewResponse templatesView(const ControlCore& core, const std::string& name)
    {
        json out = json::array();
        for (const auto& [key, it] : core.machine().templates()) {
            if (key == name)
                return { 200,
                    base::jsonText({ { "name", it.name }, { "base_version", it.version }, { "body", it.body } }) };
            out.push_back({ { "name", it.name }, { "base_version", it.version } });
        }
        return name.empty() ? ViewResponse { 200, base::jsonText(out) } : notFound("template", name);
    }

    // Shows neither keys nor their digests.
    json clientAccountJson(const wire::Resource& it)
    {
        const auto& account = it.clientAccount;
        return { { "name", account.name }, { "keys", account.keyDigests.size() }, { "priority", account.priority },
            { "rate_per_second", account.ratePerSecond }, { "burst", account.burst }, { "base_version", it.version } };
    }

    // The accounts of templates, then those of the release.
    ViewResponse accountsView(const ControlCore& core, const std::string& name)
    {
        json out = json::array();
        for (const auto& [key, it] : core.machine().accounts()) {
            json item { { "name", it.name }, { "template", it.templateName }, { "parameters", it.parameters },
                { "base_version", it.version } };
            if (key == name)
                return { 200, base::jsonText(item) };
            out.push_back(item);
        }
        for (const auto& it : core.machine().state().clientAccounts()) {
            auto item = clientAccountJson(*it);
            if (it->clientAccount.name == name)
                return { 200, base::jsonText(item) };
            out.push_back(std::move(item));
        }
        return name.empty() ? ViewResponse { 200, base::jsonText(out) } : notFound("account", name);
    }

    ViewResponse movesView(const ControlCore& core, const std::string& name)
    {
        if (!name.empty()) {
            const auto* move = core.machine().findMove(name);
            return move ? ViewResponse { 200, base::jsonText(moveJson(core, *move)) } : notFound("move", name);
        }
        json out = json::array();
        for (const auto& it : core.machine().moves())
            out.push_back(moveJson(core, it));
        return { 200, base::jsonText(out) };
    }

    // The latest release document, exactly as submitted.
    ViewResponse releaseView(const ControlCore& core)
    {
        const auto& machine = core.machine();
        return machine.releaseNumber() ? ViewResponse { 200, machine.releaseDocument() }
                                       : notFound("release", "current");
    }

    // True when every reachable node applies the final state of the move, and the move ended long enough ago that no
    // call should still run on targets of the abandoned version. A host that has just started does not know which nodes
    // are reachable.
    bool isSettled(const ControlCore& core, const wire::MoveRecord& move)
    {
        if (core.uptime() < REACHABLE_WINDOW)
            return false;
        int64_t needed = core.machine().state().versionOf(config::serviceKey(move.serviceName));
        for (const auto& node : core.directory().liveNodes()) {
            if (core.acks().isReachable(node.node, core.now(), REACHABLE_WINDOW)
                && core.acks().acknowledgedVersionOf(node.node) < needed)
                return false;
        }
        return core.wallMs() - move.endedMs >= SETTLE_TIME_MS;
    }

    ViewResponse serviceMoveView(const ControlCore& core, const std::string& service)
    {
        const auto* move = core.machine().latestMove(service);
        if (!move)
            return notFound("move", service);
        auto out = moveJson(core, *move);
        out["settled"] = moves::isFinished(*move) && isSettled(core, *move);
        return { 200, base::jsonText(out) };
    }

}

ViewResponse renderView(const ControlCore& core, View view, const std::string& name, size_t limit)
{
    switch (view) {
    case View::Services:
        return servicesView(core, name);
    case View::Templates:
        return templatesView(core, name);
    case View::Accounts:
        return accountsView(core, name);
    case View::Moves:
        return movesView(core, name);
    case View::Release:
        return releaseView(core);
    case View::ServiceMove:
        return serviceMoveView(core, name);
    case View::Evacuations:
        return evacuationsView(core, name);
    case View::Status:
        return { 200, base::jsonText(statusJson(core)) };
    case View::History:
        return { 200, base::jsonText(auditList(core, limit, true)) };
    case View::Audit:
        return { 200, base::jsonText(auditList(core, limit, false)) };
    case View::Members:
        return { 200, base::jsonText(membersJson(core)) };
    case View::Resources:
        return { 200, base::encode(core.machine().state().deltaSince(0)) };
    }
    return { 404, "{}" };
}

} // namespace pomelowind::control
