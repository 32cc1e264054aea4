// The replicated state machine of the control hosts. Each committed log entry of kind COMMAND holds one command. All
// hosts apply the same commands in the same order and therefore compute the same state and the same results, including
// the remembered result for a request id that is sent again. Nodes receive the resulting ConfigState as deltas.
#pragma once

#include "pomelowind/config/ConfigState.h"
#include "pomelowind/config/Template.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace pomelowind::config {

// Minimum time from the start of a move to its deadline, not counting the watch period.
constexpr int64_t MIN_RAMP_MS = 8000;

// Base version of a submission that is not compared with the current version.
constexpr int64_t ANY_BASE_VERSION = -1;

// Services, templates, client accounts, moves, the release, the departures of targets, the audit trail and the
// remembered results.
// Thread safety: confined to the event loop thread of ControlCore.
class ConfigMachine {
public:
    // Applies the command of the log entry at `index`. Deterministic. Never throws: when a command is refused, the code
    // of the result says why.
    wire::CommandResult apply(int64_t index, const wire::Command& command);

    const ConfigState& state() const { return m_state; }
    const std::map<std::string, wire::TemplateRecord>& templates() const { return m_templates; }
    const std::map<std::string, wire::AccountRecord>& accounts() const { return m_accounts; }
    const std::vector<wire::MoveRecord>& moves() const { return m_moves; }
    const std::deque<wire::AuditRecord>& audit() const { return m_audit; }
    // Returns the move with this id, or null.
    const wire::MoveRecord* findMove(const std::string& id) const;
    // Returns the unfinished move of `service`, or null.
    const wire::MoveRecord* activeMove(const std::string& service) const;
    // Returns the current version of the command's subject, which the command must name as its base version. Returns
    // the command's own base version for kinds that are not compared with a version.
    int64_t baseVersion(const wire::Command& command) const;
    // Returns the highest sequence number accepted from the external source, or 0.
    int64_t highestSourceSequence() const;
    // Number of the latest accepted release, 0 when there is none, and its document as the operator sent it.
    int64_t releaseNumber() const { return m_releaseNumber; }
    const std::string& releaseDocument() const { return m_releaseDocument; }
    // Returns the departures of targets in the last ten minutes, by target.
    const std::map<std::string, wire::Departure>& departures() const { return m_departures; }
    // Returns the latest move of `service`, unfinished or finished, or null.
    const wire::MoveRecord* latestMove(const std::string& service) const;
    // Number of remembered results.
    size_t rememberedCount() const { return m_rememberedResults.size(); }

    // Returns the whole state, for a snapshot.
    wire::MachineImage image() const;
    // Replaces the whole state by that of a snapshot.
    void restore(const wire::MachineImage& image);

private:
    wire::CommandResult dispatch(const wire::Command& command);
    wire::CommandResult setService(const wire::Command& command);
    wire::CommandResult removeService(const wire::Command& command);
    wire::CommandResult submitTemplate(const wire::Command& command);
    wire::CommandResult setAccount(const wire::Command& command);
    wire::CommandResult removeAccount(const wire::Command& command);
    wire::CommandResult startMove(const wire::Command& command);
    wire::CommandResult takeBackMove(const wire::Command& command);
    wire::CommandResult moveEvent(const wire::Command& command);
    wire::CommandResult applyClaimEpoch(const wire::Command& command);
    wire::CommandResult sourceUpdate(const wire::Command& command);
    wire::CommandResult submitRelease(const wire::Command& command);
    wire::CommandResult setEvacuation(const wire::Command& command);
    wire::CommandResult recordDepartures(const wire::Command& command);

    int64_t sourceSequenceOf(const wire::Command& command) const;
    wire::CommandResult accepted() const;
    void putService(const wire::ServiceResource& service);
    void putAccount(const wire::AccountResource& account);
    void renderAccounts(const std::string& onlyTemplate);
    wire::AccountResource renderChecked(
        const Template& source, const std::string& account, const Parameters& parameters) const;
    wire::AccountResource withoutMissingServices(wire::AccountResource account) const;
    void updateServiceForMove(const wire::MoveRecord& move);
    void rememberResult(const wire::Command& command, const wire::CommandResult& result);
    void expireRememberedResults(int64_t timeMs);
    void appendAuditRecord(
        int64_t index, const wire::Command& command, int64_t fromVersion, const wire::CommandResult& result);
    void trimMoves();

    ConfigState m_state;
    std::map<std::string, wire::TemplateRecord> m_templates;
    std::map<std::string, Template> m_parsedTemplates;
    std::map<std::string, wire::AccountRecord> m_accounts;
    std::vector<wire::MoveRecord> m_moves;
    std::map<std::string, wire::Departure> m_departures;
    std::deque<wire::AuditRecord> m_audit;
    int64_t m_auditCount { 0 };
    int64_t m_releaseNumber { 0 };
    std::string m_releaseDocument;
    std::deque<std::string> m_rememberedOrder;
    std::unordered_map<std::string, wire::RememberedResult> m_rememberedResults;
};

// Returns a hash of the command without its arrival time. It distinguishes a resend from a different command with the
// same request id. Thread safety: pure.
uint64_t commandFingerprint(const wire::Command& command);

// Returns whether `text` may name a resource: 1 to 128 letters, digits, '-', '_' or '.'. Thread safety: pure.
bool isValidName(const std::string& text);

// Returns whether the command starts or finishes the evacuation of a data centre.
bool isEvacuationOrder(const wire::Command& command);

// Returns the name of a command kind in the audit trail, for example "template.submit".
const char* commandKindName(wire::CommandKind::type kind);
// Returns the name of a result code in answers to operators, for example "invalid_input".
const char* resultCodeName(wire::ResultCode::type code);

} // namespace pomelowind::config
