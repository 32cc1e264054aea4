// The coordinator of claims at the caller's node: takes a claim on two of three holders before a non-idempotent
// request runs, and stores its answer there afterwards.
#pragma once

#include "PeerCalls.h"
#include "pomelowind/claims/ClaimTable.h"
#include "pomelowind/claims/ClaimVote.h"
#include "pomelowind/node/MeshView.h"

#include <functional>
#include <memory>
#include <string>

namespace pomelowind::node {

// A claim in progress or held. Copies refer to the same claim.
struct ClaimHandle {
    std::string key;
    std::string owner;
    int64_t fingerprint { 0 };
    claims::ClaimPlace place;
};

// How an attempt to claim ended; `answer` is set for a replay.
struct ClaimOutcome {
    claims::ClaimDecision decision { claims::ClaimDecision::Unknown };
    wire::CallAnswer answer;
};

// Thread safety: confined to the calls duty.
class Claimer {
public:
    using Done = std::function<void(const ClaimOutcome&)>;

    Claimer(const NodeSettings& settings, PeerCalls& peers, const base::Clock& clock);

    // Takes a claim. While another attempt may be running it looks again until `deadline`.
    // Precondition: handle.place has holders.
    void take(const ClaimHandle& handle, base::Instant deadline, Done done);
    // The request ran or may have run: stores its answer with the holders.
    void complete(const ClaimHandle& handle, const wire::CallAnswer& answer);
    // The request surely did not run: frees the key.
    void release(const ClaimHandle& handle);
    // Serves another coordinator.
    wire::ClaimAnswer serve(const wire::ClaimRequest& request, const MeshViewPtr& view);
    // Looks again for attempts that wait. To be called every few milliseconds.
    void sweep(base::Instant now);
    std::string newOwner();

private:
    struct Round;

    void ask(const std::shared_ptr<Round>& round, wire::ClaimStep::type step);
    void answered(const std::shared_ptr<Round>& round, size_t holder, std::optional<wire::ClaimAnswer> answer);
    void conclude(const std::shared_ptr<Round>& round, claims::ClaimDecision decision);
    void tell(const ClaimHandle& handle, wire::ClaimStep::type step, const wire::CallAnswer* answer);

    const NodeSettings& m_settings;
    PeerCalls& m_peers;
    const base::Clock& m_clock;
    claims::ClaimTable m_table;
    std::string m_ownerPrefix;
    uint64_t m_nextOwner { 1 };
    std::multimap<base::Instant, std::shared_ptr<Round>> m_lookAgain;
};

} // namespace pomelowind::node
