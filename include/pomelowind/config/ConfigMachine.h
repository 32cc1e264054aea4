// The replicated state machine of the control hosts. Each accepted log entry is one command; every host applies the
// same commands in the same order and so gives the same answers, also to a resent request id.
#pragma once

#include "pomelowind/config/ConfigState.h"
#include "pomelowind/config/Template.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace pomelowind::config {

// Shortest time from the start of a move to its deadline, besides the watch.
constexpr int64_t SHORTEST_RAMP_MS = 8000;

// Base version of a submission that holds whatever the present version is.
constexpr int64_t ANY_BASE = -1;

// Thread safety: confined to the decision duty.
class ConfigMachine {
public:
    // Applies one command; deterministic. Never throws: a command that cannot be done gets a typed result.
    wire::CommandResult apply(int64_t index, const wire::Command& command);

    const ConfigState& state() const { return m_state; }
    const std::map<std::string, wire::TemplateRecord>& templates() const { return m_templates; }
    const std::map<std::string, wire::AccountRecord>& accounts() const { return m_accounts; }
    const std::vector<wire::MoveRecord>& moves() const { return m_moves; }
    const std::deque<wire::AuditRecord>& audit() const { return m_audit; }
    const wire::MoveRecord* findMove(const std::string& id) const;
    // The move of `service` that is not over, or null.
    const wire::MoveRecord* activeMove(const std::string& service) const;
    // Version that a submission on this subject must name as its base.
    int64_t baseVersion(const wire::Command& command) const;
    // Highest sequence number taken from the outside source.
    int64_t highestSourceSequence() const;
    // The newest accepted release as its operator sent it, and its number; 0 when there is none.
    int64_t releaseNumber() const { return m_releaseNumber; }
    const std::string& releaseDocument() const { return m_releaseDocument; }
    // The newest move of `service`, running or over, or null.
    const wire::MoveRecord* latestMove(const std::string& service) const;
    size_t rememberedCount() const { return m_remembered.size(); }

    wire::MachineImage image() const;
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
    wire::CommandResult claimEpoch(const wire::Command& command);
    wire::CommandResult sourceUpdate(const wire::Command& command);
    wire::CommandResult submitRelease(const wire::Command& command);

    int64_t sourceSequenceOf(const wire::Command& command) const;
    wire::CommandResult accepted() const;
    void putService(const wire::ServiceResource& service);
    void putAccount(const wire::AccountResource& account);
    void renderAccounts(const std::string& onlyTemplate);
    wire::AccountResource renderChecked(
        const Template& source, const std::string& account, const Parameters& parameters) const;
    wire::AccountResource withoutMissingServices(wire::AccountResource account) const;
    void applyMove(const wire::MoveRecord& move);
    void remember(const wire::Command& command, const wire::CommandResult& result);
    void forgetOld(int64_t timeMs);
    void record(int64_t index, const wire::Command& command, int64_t fromVersion, const wire::CommandResult& result);
    void trimMoves();

    ConfigState m_state;
    std::map<std::string, wire::TemplateRecord> m_templates;
    std::map<std::string, Template> m_parsed;
    std::map<std::string, wire::AccountRecord> m_accounts;
    std::vector<wire::MoveRecord> m_moves;
    std::deque<wire::AuditRecord> m_audit;
    int64_t m_auditCount { 0 };
    int64_t m_releaseNumber { 0 };
    std::string m_releaseDocument;
    std::deque<std::string> m_rememberedOrder;
    std::unordered_map<std::string, wire::RememberedResult> m_remembered;
};

// Identity of a command apart from the time at which it arrived; a resend has the same. Thread safety: pure.
uint64_t commandFingerprint(const wire::Command& command);

// Name of a command kind in the audit trail, for example "template.submit".
const char* commandKindName(wire::CommandKind::type kind);
const char* resultCodeName(wire::ResultCode::type code);

} // namespace pomelowind::config
