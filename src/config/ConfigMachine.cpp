#include "pomelowind/config/ConfigMachine.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Hash.h"
#include "pomelowind/config/Release.h"
#include "pomelowind/moves/MoveMachine.h"

#include <algorithm>
#include <new>
#include <tuple>

namespace pomelowind::config {

namespace {

    using base::UserError;
    using wire::CommandKind;
    using wire::CommandResult;
    using wire::MoveState;
    using wire::ResultCode;

    constexpr int64_t RESULT_RETENTION_MS = 24LL * 3600 * 1000;
    constexpr size_t MAX_REMEMBERED_RESULTS = 20000;
    constexpr size_t MAX_AUDIT_RECORDS = 10000;
    constexpr size_t MAX_KEPT_MOVES = 200;
    constexpr size_t MAX_CLAIM_EPOCHS = 64;
    // Longer than claims::CLAIM_WINDOW_MS, the time for which an idempotency key can be used.
    constexpr int64_t CLAIM_EPOCH_RETENTION_MS = 15LL * 60 * 1000;
    // How long a node sends calls to a candidate version after the last beacon that it received.
    constexpr int64_t CANDIDATE_GRANT_MS = 30000;
    // Operators resend an unanswered request for some seconds.
    constexpr int64_t DUPLICATE_START_WINDOW_MS = 10000;
    constexpr int64_t MIN_WATCH_MS = 1000;
    // As long as directories keep the entries of targets that are gone.
    constexpr int64_t DEPARTURE_RETENTION_MS = 10LL * 60 * 1000;
    // Bounds the size of snapshots and of the directory that a started host sends to its nodes.
    constexpr size_t MAX_DEPARTURES = 4096;
    constexpr int64_t MAX_MOVE_DURATION_MS = 7LL * 24 * 3600 * 1000;

    CommandResult refuse(ResultCode::type code, const std::string& message, const std::string& remedy)
    {
        CommandResult result;
        result.code = code;
        result.message = message;
        result.remedy = remedy;
        return result;
    }

    CommandResult refuse(const UserError& e)
    {
        auto code = e.kind() == base::ErrorKind::NotFound ? ResultCode::NOT_FOUND : ResultCode::INVALID;
        return refuse(code, e.what(), e.remedy());
    }

    // Returns the subject of a command as shown in the audit trail.
    std::string subjectOf(const wire::Command& command)
    {
        switch (command.kind) {
        case CommandKind::START_MOVE:
            return command.move.serviceName + "@" + command.move.toVersion;
        case CommandKind::MOVE_EVENT:
            return command.moveEvent.moveId;
        case CommandKind::CLAIM_EPOCH:
            return CLAIM_RING_KEY;
        case CommandKind::SUBMIT_RELEASE:
            return "release/" + std::to_string(command.release.header.number);
        default:
            return command.name;
        }
    }

    const char* moveEventName(wire::MoveEventKind::type kind)
    {
        switch (kind) {
        case wire::MoveEventKind::RAISE:
            return "move.raise";
        case wire::MoveEventKind::REACHED_ALL:
            return "move.reached_all";
        case wire::MoveEventKind::BAD:
            return "move.bad";
        case wire::MoveEventKind::WATCH_ENDED:
            return "move.watch_ended";
        case wire::MoveEventKind::LATE:
            return "move.late";
        case wire::MoveEventKind::ASKED_BACK:
            return "move.asked_back";
        case wire::MoveEventKind::PAUSE:
            return "move.pause";
        case wire::MoveEventKind::RESUME:
            return "move.resume";
        }
        return "move.unknown";
    }

    CommandResult invalidName(const std::string& what)
    {
        return refuse(
            ResultCode::INVALID, what + " is not a valid name", "use 1 to 128 letters, digits, '-', '_' or '.'");
    }

}

bool isValidName(const std::string& text)
{
    constexpr size_t MAX_NAME_BYTES = 128;
    return !text.empty() && text.size() <= MAX_NAME_BYTES && std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
    });
}

bool isEvacuationOrder(const wire::Command& command)
{
    return command.kind == CommandKind::START_EVACUATION || command.kind == CommandKind::FINISH_EVACUATION;
}

const char* commandKindName(CommandKind::type kind)
{
    switch (kind) {
    case CommandKind::SET_SERVICE:
        return "service.set";
    case CommandKind::REMOVE_SERVICE:
        return "service.remove";
    case CommandKind::SUBMIT_TEMPLATE:
        return "template.submit";
    case CommandKind::SET_ACCOUNT:
        return "account.set";
    case CommandKind::REMOVE_ACCOUNT:
        return "account.remove";
    case CommandKind::START_MOVE:
        return "move.start";
    case CommandKind::TAKE_BACK_MOVE:
        return "move.take_back";
    case CommandKind::MOVE_EVENT:
        return "move.event";
    case CommandKind::CLAIM_EPOCH:
        return "claims.epoch";
    case CommandKind::DENIED:
        return "denied";
    case CommandKind::SOURCE_UPDATE:
        return "source.update";
    case CommandKind::SUBMIT_RELEASE:
        return "release.submit";
    case CommandKind::START_EVACUATION:
        return "evacuation.start";
    case CommandKind::FINISH_EVACUATION:
        return "evacuation.finish";
    case CommandKind::RECORD_DEPARTURES:
        return "departures.record";
    }
    return "unknown";
}

const char* resultCodeName(ResultCode::type code)
{
    switch (code) {
    case ResultCode::ACCEPTED:
        return "accepted";
    case ResultCode::CONFLICT:
        return "conflict";
    case ResultCode::INVALID:
        return "invalid_input";
    case ResultCode::NOT_FOUND:
        return "not_found";
    case ResultCode::DENIED:
        return "denied";
    case ResultCode::BUSY:
        return "busy";
    case ResultCode::UNAVAILABLE:
        return "unavailable";
    case ResultCode::UNCHANGED:
        return "unchanged";
    }
    return "unknown";
}

uint64_t commandFingerprint(const wire::Command& command)
{
    // The document determines the decoded release and is much smaller.
    if (command.kind == CommandKind::SUBMIT_RELEASE)
        return base::hash64(command.release.document, base::hash64(command.actor));
    wire::Command untimed = command;
    untimed.timeMs = 0;
    // The host that receives an evacuation order fills in its base version, so a resend may have another one.
    if (isEvacuationOrder(command))
        untimed.baseVersion = 0;
    return base::hash64(base::encode(untimed));
}

CommandResult ConfigMachine::apply(int64_t index, const wire::Command& command)
{
    expireRememberedResults(command.timeMs);
    auto remembered = m_rememberedResults.find(command.requestId);
    if (!command.requestId.empty() && remembered != m_rememberedResults.end()) {
        if (static_cast<uint64_t>(remembered->second.fingerprint) == commandFingerprint(command))
            return remembered->second.result;
        return refuse(ResultCode::CONFLICT, "request id '" + command.requestId + "' was used for another submission",
            "use a new request id for a new submission");
    }
    int64_t fromVersion = m_state.version();
    CommandResult result = dispatch(command);
    bool isOrder = command.kind != CommandKind::RECORD_DEPARTURES;
    if (isOrder && result.code != ResultCode::UNCHANGED) {
        rememberResult(command, result);
        appendAuditRecord(index, command, fromVersion, result);
    }
    return result;
}

int64_t ConfigMachine::baseVersion(const wire::Command& command) const
{
    switch (command.kind) {
    case CommandKind::SUBMIT_TEMPLATE: {
        auto it = m_templates.find(command.name);
        return it == m_templates.end() ? 0 : it->second.version;
    }
    case CommandKind::SET_ACCOUNT:
    case CommandKind::REMOVE_ACCOUNT: {
        auto it = m_accounts.find(command.name);
        return it == m_accounts.end() ? m_state.versionOf(accountKey(command.name)) : it->second.version;
    }
    case CommandKind::START_MOVE:
        return m_state.versionOf(serviceKey(command.move.serviceName));
    case CommandKind::SET_SERVICE:
    case CommandKind::REMOVE_SERVICE:
        return m_state.versionOf(serviceKey(command.name));
    case CommandKind::SUBMIT_RELEASE:
        return m_releaseNumber;
    default:
        return command.baseVersion;
    }
}

CommandResult ConfigMachine::dispatch(const wire::Command& command)
{
    int64_t currentVersion = baseVersion(command);
    if (command.baseVersion != currentVersion && command.baseVersion != ANY_BASE_VERSION)
        return refuse(ResultCode::CONFLICT,
            "'" + subjectOf(command) + "' is at version " + std::to_string(currentVersion) + ", not "
                + std::to_string(command.baseVersion),
            "read it again, check the other change, and submit with the new base version");
    try {
        switch (command.kind) {
        case CommandKind::SET_SERVICE:
            return setService(command);
        case CommandKind::REMOVE_SERVICE:
            return removeService(command);
        case CommandKind::SUBMIT_TEMPLATE:
            return submitTemplate(command);
        case CommandKind::SET_ACCOUNT:
            return setAccount(command);
        case CommandKind::REMOVE_ACCOUNT:
            return removeAccount(command);
        case CommandKind::START_MOVE:
            return startMove(command);
        case CommandKind::TAKE_BACK_MOVE:
            return takeBackMove(command);
        case CommandKind::MOVE_EVENT:
            return moveEvent(command);
        case CommandKind::CLAIM_EPOCH:
            return applyClaimEpoch(command);
        case CommandKind::SOURCE_UPDATE:
            return sourceUpdate(command);
        case CommandKind::SUBMIT_RELEASE:
            return submitRelease(command);
        case CommandKind::START_EVACUATION:
        case CommandKind::FINISH_EVACUATION:
            return setEvacuation(command);
        case CommandKind::RECORD_DEPARTURES:
            return recordDepartures(command);
        case CommandKind::DENIED:
            return refuse(ResultCode::DENIED, command.body, "ask the team that owns it, or change this team's role");
        }
    } catch (const UserError& e) {
        return refuse(e);
    } catch (const base::InternalFault&) {
        throw;
    } catch (const std::bad_alloc&) {
        throw;
    } catch (const std::exception& e) {
        // The same on every host. One that ended here would end again at each replay of the log.
        return refuse(ResultCode::INVALID, std::string("the command cannot be carried out: ") + e.what(),
            "check its fields and send it again");
    }
    return refuse(ResultCode::INVALID, "unknown command", "run the same release on all hosts");
}

CommandResult ConfigMachine::accepted() const
{
    CommandResult result;
    result.code = ResultCode::ACCEPTED;
    result.version = m_state.version();
    return result;
}

// ---- services ----

void ConfigMachine::putService(const wire::ServiceResource& service)
{
    wire::Resource resource;
    resource.key = serviceKey(service.name);
    resource.__set_serviceResource(service);
    m_state = m_state.withResource(std::move(resource));
}

CommandResult ConfigMachine::setService(const wire::Command& command)
{
    if (!isValidName(command.name) || !isValidName(command.body))
        return invalidName("service or version");
    if (const auto* move = activeMove(command.name))
        return refuse(ResultCode::CONFLICT, "move '" + move->id + "' of this service is running",
            "wait for it, or take it back first");
    wire::ServiceResource service;
    service.name = command.name;
    service.stable = command.body;
    putService(service);
    renderAccounts({});
    return accepted();
}

// Removes the routes before the service, so that no version of the configuration contains a route to a missing service.
CommandResult ConfigMachine::removeService(const wire::Command& command)
{
    const auto* service = m_state.service(command.name);
    if (!service)
        return refuse(ResultCode::NOT_FOUND, "service '" + command.name + "' does not exist",
            "check its name with 'service list'");
    if (activeMove(command.name))
        return refuse(ResultCode::CONFLICT, "a move of this service is running", "take it back first");
    auto before = m_state;
    for (const auto* account : before.accounts()) {
        wire::AccountResource kept = *account;
        std::erase_if(kept.routes, [&](const wire::Route& it) { return it.serviceName == command.name; });
        if (kept.routes.size() != account->routes.size())
            putAccount(kept);
    }
    m_state = m_state.withoutResource(serviceKey(command.name));
    return accepted();
}

// ---- templates and client accounts ----

void ConfigMachine::putAccount(const wire::AccountResource& account)
{
    const auto* current = m_state.find(accountKey(account.name));
    if (current && current->accountResource == account)
        return;
    wire::Resource resource;
    resource.key = accountKey(account.name);
    resource.__set_accountResource(account);
    m_state = m_state.withResource(std::move(resource));
}

wire::AccountResource ConfigMachine::withoutMissingServices(wire::AccountResource account) const
{
    std::erase_if(account.routes, [&](const wire::Route& it) { return !m_state.service(it.serviceName); });
    return account;
}

wire::AccountResource ConfigMachine::renderChecked(
    const Template& source, const std::string& account, const Parameters& parameters) const
{
    auto rendered = render(source, account, parameters);
    for (const auto& route : rendered.routes) {
        if (!m_state.service(route.serviceName))
            throw UserError(base::ErrorKind::InvalidInput,
                "route " + route.path + " of template '" + source.name + "' points at unknown service '"
                    + route.serviceName + "'",
                "create the service first with 'service set', or correct the template");
    }
    return rendered;
}

void ConfigMachine::renderAccounts(const std::string& onlyTemplate)
{
    for (const auto& [name, account] : m_accounts) {
        if (!onlyTemplate.empty() && account.templateName != onlyTemplate)
            continue;
        auto rendered = render(m_parsedTemplates.at(account.templateName), name, account.parameters);
        putAccount(withoutMissingServices(std::move(rendered)));
    }
}

CommandResult ConfigMachine::submitTemplate(const wire::Command& command)
{
    auto parsed = parseTemplate(command.body);
    if (!isValidName(parsed.name))
        return invalidName("template");
    if (parsed.name != command.name)
        return refuse(ResultCode::INVALID, "the template's name '" + parsed.name + "' is not '" + command.name + "'",
            "use the same name in the request and in the YAML");
    for (const auto& route : parsed.routes) {
        if (route.serviceName.find("${") == std::string::npos && !m_state.service(route.serviceName))
            return refuse(ResultCode::INVALID,
                "route " + route.path + " points at unknown service '" + route.serviceName + "'",
                "create the service first with 'service set', or correct the template");
    }
    // Render all accounts before changing anything: one invalid account refuses the whole submission.
    for (const auto& [name, account] : m_accounts) {
        if (account.templateName == parsed.name)
            renderChecked(parsed, name, account.parameters);
    }
    wire::TemplateRecord record = m_templates[parsed.name];
    record.name = parsed.name;
    record.body = command.body;
    m_parsedTemplates[parsed.name] = parsed;
    int64_t before = m_state.version();
    renderAccounts(parsed.name);
    // A template without accounts changes no resource, but needs a version of its own as the base of the next
    // submission.
    if (m_state.version() == before)
        m_state = m_state.withoutResource("template/" + parsed.name);
    record.version = m_state.version();
    m_templates[parsed.name] = record;
    return accepted();
}

CommandResult ConfigMachine::setAccount(const wire::Command& command)
{
    if (!isValidName(command.name))
        return invalidName("client account");
    auto source = m_parsedTemplates.find(command.templateName);
    if (source == m_parsedTemplates.end())
        return refuse(ResultCode::NOT_FOUND, "template '" + command.templateName + "' does not exist",
            "submit it first, or check its name with 'template list'");
    auto rendered = renderChecked(source->second, command.name, command.parameters);
    wire::Resource resource;
    resource.key = accountKey(command.name);
    resource.__set_accountResource(rendered);
    m_state = m_state.withResource(std::move(resource));
    auto& record = m_accounts[command.name];
    record.name = command.name;
    record.templateName = command.templateName;
    record.parameters = command.parameters;
    record.version = m_state.version();
    return accepted();
}

CommandResult ConfigMachine::removeAccount(const wire::Command& command)
{
    if (!m_accounts.erase(command.name))
        return refuse(ResultCode::NOT_FOUND, "client account '" + command.name + "' does not exist",
            "check its name with 'account list'");
    m_state = m_state.withoutResource(accountKey(command.name));
    return accepted();
}

// Updates from the external source may arrive repeatedly and out of order. Accepts only one whose sequence number is
// higher than the latest of the same template or account.
CommandResult ConfigMachine::sourceUpdate(const wire::Command& command)
{
    bool isTemplate = !command.body.empty();
    if (command.sourceSequence <= sourceSequenceOf(command)) {
        CommandResult result = refuse(ResultCode::UNCHANGED, "the source's update is not newer", "");
        result.version = m_state.version();
        return result;
    }
    CommandResult result = isTemplate ? submitTemplate(command) : setAccount(command);
    if (result.code != ResultCode::ACCEPTED)
        return result;
    if (isTemplate)
        m_templates[command.name].sourceSequence = command.sourceSequence;
    else
        m_accounts[command.name].sourceSequence = command.sourceSequence;
    return result;
}

int64_t ConfigMachine::sourceSequenceOf(const wire::Command& command) const
{
    if (!command.body.empty()) {
        auto it = m_templates.find(command.name);
        return it == m_templates.end() ? 0 : it->second.sourceSequence;
    }
    auto it = m_accounts.find(command.name);
    return it == m_accounts.end() ? 0 : it->second.sourceSequence;
}

int64_t ConfigMachine::highestSourceSequence() const
{
    int64_t out = 0;
    for (const auto& [name, it] : m_templates)
        out = std::max(out, it.sourceSequence);
    for (const auto& [name, it] : m_accounts)
        out = std::max(out, it.sourceSequence);
    return out;
}

// ---- releases ----

// dispatch() has compared the base with the current release, so of two submissions with the same base only one
// succeeds.
CommandResult ConfigMachine::submitRelease(const wire::Command& command)
{
    const auto& release = command.release;
    validateRelease(release);
    if (release.header.number <= m_releaseNumber)
        return refuse(ResultCode::INVALID,
            "release " + std::to_string(release.header.number) + " is not above the current release "
                + std::to_string(m_releaseNumber),
            "use a higher number");
    auto change = computeReleaseChange(release, m_state);
    m_state.applyChange(std::move(change.set), change.removed);
    m_releaseNumber = release.header.number;
    m_releaseDocument = release.document;
    return accepted();
}

// ---- moves ----

const wire::MoveRecord* ConfigMachine::latestMove(const std::string& service) const
{
    auto it = std::find_if(
        m_moves.rbegin(), m_moves.rend(), [&](const wire::MoveRecord& move) { return move.serviceName == service; });
    return it == m_moves.rend() ? nullptr : &*it;
}

const wire::MoveRecord* ConfigMachine::findMove(const std::string& id) const
{
    auto it = std::find_if(m_moves.begin(), m_moves.end(), [&](const wire::MoveRecord& move) { return move.id == id; });
    return it == m_moves.end() ? nullptr : &*it;
}

const wire::MoveRecord* ConfigMachine::activeMove(const std::string& service) const
{
    auto it = std::find_if(m_moves.begin(), m_moves.end(),
        [&](const wire::MoveRecord& move) { return move.serviceName == service && !moves::isFinished(move); });
    return it == m_moves.end() ? nullptr : &*it;
}

CommandResult ConfigMachine::startMove(const wire::Command& command)
{
    auto request = command.move;
    // A request without an id is a resend of the latest move when that leads to the same version and is unfinished or
    // ended only recently.
    if (request.id.empty()) {
        const auto* latest = latestMove(request.serviceName);
        bool isResend = latest && latest->toVersion == request.toVersion
            && (!moves::isFinished(*latest) || command.timeMs - latest->endedMs < DUPLICATE_START_WINDOW_MS);
        if (isResend)
            return accepted();
        request.id = request.serviceName + "." + request.toVersion + "." + std::to_string(m_moves.size() + 1);
    }
    if (request.durationMs > 0)
        request.deadlineMs = command.timeMs + std::min(request.durationMs, MAX_MOVE_DURATION_MS + 1);
    const auto* service = m_state.service(request.serviceName);
    if (!service)
        return refuse(ResultCode::NOT_FOUND, "service '" + request.serviceName + "' does not exist",
            "check its name with 'service list'");
    if (!isValidName(request.id) || !isValidName(request.toVersion))
        return invalidName("move or version");
    if (findMove(request.id))
        return refuse(ResultCode::CONFLICT, "move '" + request.id + "' exists already", "use a new move id");
    if (const auto* active = activeMove(request.serviceName))
        return refuse(ResultCode::CONFLICT, "move '" + active->id + "' of this service is running",
            "wait for it, or take it back first");
    if (!service->stable.empty() && service->stable == request.toVersion)
        return refuse(ResultCode::INVALID,
            "service '" + request.serviceName + "' runs version '" + request.toVersion + "' already",
            "name another version");
    // Clamped before they are added to or subtracted from each other.
    request.watchMs = std::clamp<int64_t>(request.watchMs, 0, MAX_MOVE_DURATION_MS);
    request.deadlineMs = std::clamp<int64_t>(request.deadlineMs, 0, command.timeMs + MAX_MOVE_DURATION_MS + 1);
    int64_t minDurationMs = request.watchMs + MIN_RAMP_MS;
    int64_t timeToDeadlineMs = request.deadlineMs - command.timeMs;
    bool tooShort
        = request.exposurePermille == 0 && (request.watchMs < MIN_WATCH_MS || timeToDeadlineMs < minDurationMs);
    if (tooShort || timeToDeadlineMs > MAX_MOVE_DURATION_MS)
        return refuse(ResultCode::INVALID,
            "the deadline is " + std::to_string(timeToDeadlineMs) + " ms away with a watch of "
                + std::to_string(request.watchMs) + " ms",
            "give a watch of at least 1 s and a deadline from " + std::to_string(minDurationMs) + " ms to 7 days away");
    wire::MoveRecord move;
    move.id = request.id;
    move.serviceName = request.serviceName;
    move.fromVersion = service->stable;
    move.toVersion = request.toVersion;
    move.startedMs = command.timeMs;
    move.deadlineMs = request.deadlineMs;
    move.watchMs = request.watchMs;
    move.exposurePermille = request.exposurePermille;
    move.state = MoveState::PLANNED;
    move.actor = command.actor;
    m_moves.push_back(move);
    trimMoves();
    updateServiceForMove(move);
    return accepted();
}

void ConfigMachine::trimMoves()
{
    while (m_moves.size() > MAX_KEPT_MOVES) {
        auto it = std::find_if(m_moves.begin(), m_moves.end(), moves::isFinished);
        if (it == m_moves.end())
            return;
        m_moves.erase(it);
    }
}

// Writes the state and traffic share of a move into the resource of its service, which nodes act on.
void ConfigMachine::updateServiceForMove(const wire::MoveRecord& move)
{
    const auto* current = m_state.service(move.serviceName);
    if (!current)
        return;
    wire::ServiceResource service = *current;
    service.stable = move.state == MoveState::DONE ? move.toVersion : move.fromVersion;
    service.candidate = moves::isFinished(move) ? "" : move.toVersion;
    service.excluded = move.state == MoveState::TAKEN_BACK ? move.toVersion : "";
    service.permille = moves::isFinished(move) ? 0 : move.permille;
    service.moveId = moves::isFinished(move) ? "" : move.id;
    service.step = move.step;
    service.grantMs = CANDIDATE_GRANT_MS;
    putService(service);
}

CommandResult ConfigMachine::takeBackMove(const wire::Command& command)
{
    const auto* move = findMove(command.name);
    if (!move)
        return refuse(
            ResultCode::NOT_FOUND, "move '" + command.name + "' does not exist", "check its id with 'move list'");
    wire::Command event = command;
    event.moveEvent.moveId = move->id;
    event.moveEvent.step = move->step + 1;
    event.moveEvent.kind = wire::MoveEventKind::ASKED_BACK;
    event.moveEvent.reason = "asked for by " + command.actor;
    return moveEvent(event);
}

CommandResult ConfigMachine::moveEvent(const wire::Command& command)
{
    const auto& event = command.moveEvent;
    auto move = std::find_if(
        m_moves.begin(), m_moves.end(), [&](const wire::MoveRecord& it) { return it.id == event.moveId; });
    if (move == m_moves.end())
        return refuse(
            ResultCode::NOT_FOUND, "move '" + event.moveId + "' does not exist", "check its id with 'move list'");
    auto transition = moves::applyMoveEvent(*move, event, command.timeMs);
    if (!transition.accepted)
        return refuse(
            ResultCode::CONFLICT, "move '" + event.moveId + "': " + transition.refusal, "read the move's status");
    bool sameShare
        = transition.next.permille == move->permille && moves::isFinished(transition.next) == moves::isFinished(*move);
    *move = transition.next;
    if (!sameShare)
        updateServiceForMove(*move);
    return accepted();
}

// ---- claim holders ----

CommandResult ConfigMachine::applyClaimEpoch(const wire::Command& command)
{
    wire::ClaimRing ring;
    if (const auto* current = m_state.claimRing())
        ring = *current;
    const auto& next = command.claimEpoch;
    bool isNext = ring.epochs.empty()
        || (next.epoch == ring.epochs.back().epoch + 1 && next.fromMs > ring.epochs.back().fromMs);
    if (!isNext || next.holders.empty())
        return refuse(ResultCode::CONFLICT, "the claim epoch does not follow the present one", "propose it again");
    ring.epochs.push_back(next);
    // An epoch is kept while idempotency keys that were created in it can still be used.
    while (ring.epochs.size() > 1
        && (ring.epochs[1].fromMs < command.timeMs - CLAIM_EPOCH_RETENTION_MS || ring.epochs.size() > MAX_CLAIM_EPOCHS))
        ring.epochs.erase(ring.epochs.begin());
    wire::Resource resource;
    resource.key = CLAIM_RING_KEY;
    resource.__set_claimRing(ring);
    m_state = m_state.withResource(std::move(resource));
    return accepted();
}

// ---- evacuations ----

CommandResult ConfigMachine::setEvacuation(const wire::Command& command)
{
    if (!isValidName(command.name))
        return invalidName("data centre");
    auto key = evacuationKey(command.name);
    bool isStart = command.kind == CommandKind::START_EVACUATION;
    if (isStart == (m_state.find(key) != nullptr)) {
        CommandResult unchanged = accepted();
        unchanged.code = ResultCode::UNCHANGED;
        return unchanged;
    }
    // An order that was delayed on its way must not undo a later one.
    if (command.baseVersion != ANY_BASE_VERSION && command.baseVersion != m_state.versionOf(key))
        return refuse(ResultCode::UNAVAILABLE,
            "the evacuation of '" + command.name + "' was started or finished after this order was received",
            "send the order again if it is still wanted");
    if (isStart) {
        wire::Resource resource;
        resource.key = key;
        wire::Evacuation evacuation;
        evacuation.dataCentre = command.name;
        resource.__set_evacuation(evacuation);
        m_state = m_state.withResource(std::move(resource));
    } else {
        m_state = m_state.withoutResource(key);
    }
    return accepted();
}

// ---- departures of targets ----

CommandResult ConfigMachine::recordDepartures(const wire::Command& command)
{
    auto order = [](const wire::Departure& it) { return std::tuple(it.incarnation, it.noticeSequence); };
    for (auto it : command.departures) {
        it.timeMs = command.timeMs;
        auto [found, isNew] = m_departures.try_emplace(it.target, it);
        if (!isNew && order(it) > order(found->second))
            found->second = std::move(it);
    }
    std::erase_if(
        m_departures, [&](const auto& it) { return it.second.timeMs < command.timeMs - DEPARTURE_RETENTION_MS; });
    while (m_departures.size() > MAX_DEPARTURES) {
        m_departures.erase(std::min_element(m_departures.begin(), m_departures.end(),
            [](const auto& a, const auto& b) { return a.second.timeMs < b.second.timeMs; }));
    }
    return accepted();
}

// ---- remembered results and audit trail ----

void ConfigMachine::rememberResult(const wire::Command& command, const CommandResult& result)
{
    // A refused release can become valid when another one is accepted, so only an acceptance is remembered.
    bool mayBecomeValid = command.kind == CommandKind::SUBMIT_RELEASE && result.code != ResultCode::ACCEPTED;
    bool maySucceedLater = result.code == ResultCode::UNAVAILABLE;
    if (command.requestId.empty() || mayBecomeValid || maySucceedLater)
        return;
    wire::RememberedResult remembered;
    remembered.requestId = command.requestId;
    remembered.timeMs = command.timeMs;
    remembered.result = result;
    remembered.fingerprint = static_cast<int64_t>(commandFingerprint(command));
    m_rememberedResults[command.requestId] = remembered;
    m_rememberedOrder.push_back(command.requestId);
}

void ConfigMachine::expireRememberedResults(int64_t timeMs)
{
    while (!m_rememberedOrder.empty()) {
        auto it = m_rememberedResults.find(m_rememberedOrder.front());
        bool expired
            = it->second.timeMs < timeMs - RESULT_RETENTION_MS || m_rememberedOrder.size() > MAX_REMEMBERED_RESULTS;
        if (!expired)
            return;
        m_rememberedResults.erase(it);
        m_rememberedOrder.pop_front();
    }
}

void ConfigMachine::appendAuditRecord(
    int64_t index, const wire::Command& command, int64_t fromVersion, const CommandResult& result)
{
    wire::AuditRecord audit;
    audit.index = index;
    audit.timeMs = command.timeMs;
    audit.actor = command.actor;
    audit.team = command.team;
    audit.action = command.kind == CommandKind::MOVE_EVENT ? moveEventName(command.moveEvent.kind)
                                                           : commandKindName(command.kind);
    audit.subject = subjectOf(command);
    audit.fromVersion = fromVersion;
    audit.toVersion = m_state.version();
    audit.code = result.code;
    audit.message = command.kind == CommandKind::MOVE_EVENT ? command.moveEvent.reason : result.message;
    audit.requestId = command.requestId;
    m_audit.push_back(std::move(audit));
    ++m_auditCount;
    if (m_audit.size() > MAX_AUDIT_RECORDS)
        m_audit.pop_front();
}

// ---- snapshots ----

wire::MachineImage ConfigMachine::image() const
{
    wire::MachineImage image;
    image.version = m_state.version();
    image.resources = m_state.resources();
    image.tombstones = m_state.tombstones();
    image.tombstoneFloor = m_state.tombstoneFloor();
    for (const auto& [name, record] : m_templates)
        image.templates.push_back(record);
    for (const auto& [name, record] : m_accounts)
        image.accounts.push_back(record);
    image.moves = m_moves;
    image.audit.assign(m_audit.begin(), m_audit.end());
    image.auditCount = m_auditCount;
    image.releaseNumber = m_releaseNumber;
    image.releaseDocument = m_releaseDocument;
    for (const auto& [target, departure] : m_departures)
        image.departures.push_back(departure);
    for (const auto& it : m_rememberedOrder)
        image.remembered.push_back(m_rememberedResults.at(it));
    return image;
}

void ConfigMachine::restore(const wire::MachineImage& image)
{
    *this = ConfigMachine();
    m_state = ConfigState::restore(image.version, image.resources, image.tombstones, image.tombstoneFloor);
    for (const auto& it : image.templates) {
        m_templates[it.name] = it;
        m_parsedTemplates[it.name] = parseTemplate(it.body);
    }
    for (const auto& it : image.accounts)
        m_accounts[it.name] = it;
    m_moves = image.moves;
    m_audit.assign(image.audit.begin(), image.audit.end());
    m_auditCount = image.auditCount;
    m_releaseNumber = image.releaseNumber;
    m_releaseDocument = image.releaseDocument;
    for (const auto& it : image.departures)
        m_departures[it.target] = it;
    for (const auto& it : image.remembered) {
        m_rememberedResults[it.requestId] = it;
        m_rememberedOrder.push_back(it.requestId);
    }
}

} // namespace pomelowind::config
