// Coordinator of idempotency-key claims at the caller's node, between the admission of a non-idempotent call and its
// dispatch.
//
// A claim is a record that one attempt of a keyed request may run. Three nodes, the claim holders, store it; the key
// and the claim epoch, which numbers the mesh's lists of holders, determine which. A request runs only after two of the
// three holders have granted its claim; afterwards its answer is stored there, to be replayed to resends with the same
// key.
#pragma once

#include "PeerCalls.h"
#include "pomelowind/claims/ClaimTable.h"
#include "pomelowind/claims/ClaimVote.h"
#include "pomelowind/node/MeshView.h"

#include <functional>
#include <memory>
#include <string>

namespace pomelowind::node {

// Identifies a claim that is being acquired or held. Copies refer to the same claim.
struct ClaimHandle {
    std::string key;
    std::string owner; // unique for each attempt to claim
    int64_t fingerprint { 0 }; // hash of the request; detects a key that is reused for another request
    claims::ClaimHolders claimHolders;
};

// Result of an attempt to claim; `answer` is set for a replay.
struct ClaimOutcome {
    claims::ClaimDecision decision { claims::ClaimDecision::Unknown };
    wire::CallAnswer answer;
};

// Acquires claims for this node's calls, and serves as a claim holder for other nodes. Thread safety: confined to the
// calls event loop.
class ClaimCoordinator {
public:
    using Done = std::function<void(const ClaimOutcome&)>;

    ClaimCoordinator(const NodeSettings& settings, PeerCalls& peers, const base::Clock& clock);

    // Acquires a claim. While another attempt may be running, polls the holders until `deadline`.
    // Precondition: handle.claimHolders.holders is not empty.
    void acquire(const ClaimHandle& handle, base::Instant deadline, Done done);
    // Stores the answer of a request that ran or may have run with the holders.
    void complete(const ClaimHandle& handle, const wire::CallAnswer& answer);
    // Releases the key of a request that did not run.
    void release(const ClaimHandle& handle);
    // Answers another node's coordinator as a claim holder.
    wire::ClaimAnswer handleRequest(const wire::ClaimRequest& request, const MeshViewPtr& view);
    // Polls the holders again for claims whose next poll is due. To be called every few milliseconds.
    void sweep(base::Instant now);
    // Returns an owner name that is unique across nodes and restarts.
    std::string newOwner();

private:
    struct Round;

    void queryHolders(const std::shared_ptr<Round>& round, wire::ClaimStep::type step);
    void onHolderAnswer(const std::shared_ptr<Round>& round, size_t holder, std::optional<wire::ClaimAnswer> answer);
    void conclude(const std::shared_ptr<Round>& round, claims::ClaimDecision decision);
    void notifyHolders(const ClaimHandle& handle, wire::ClaimStep::type step, const wire::CallAnswer* answer);

    const NodeSettings& m_settings;
    PeerCalls& m_peers;
    const base::Clock& m_clock;
    claims::ClaimTable m_table;
    std::string m_ownerPrefix;
    uint64_t m_nextOwner { 1 };
    std::multimap<base::Instant, std::shared_ptr<Round>> m_nextPolls;
};

} // namespace pomelowind::node
