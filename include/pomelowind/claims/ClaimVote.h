// Quorum logic of claims (see ClaimTable.h): which nodes hold the claim of an idempotency key, and what a coordinator
// may conclude from their answers. A claim needs a majority, two of three holders. Any two majorities share a holder,
// so two coordinators cannot both obtain the claim.
#pragma once

#include "pomelowind/base/Wire.h"

#include <optional>
#include <string>
#include <vector>

namespace pomelowind::claims {

// Number of claim holders of a key.
constexpr size_t CLAIM_HOLDERS = 3;

// Why a key cannot be used.
enum class KeyProblem { None, NotUuidV7, FromFuture, TooOld, NoEpoch };

// The claim holders of a key.
struct ClaimHolders {
    KeyProblem problem { KeyProblem::None };
    int64_t epoch { 0 };
    int64_t waitMs { 0 }; // time until the creation time of the key is reached
    std::vector<wire::ClaimHolder> holders;
    size_t quorum { 0 }; // number of holders that must grant the claim
};

// Returns the holders of `key`. They depend only on the key and its creation time, so all nodes that know its epoch
// find the same ones. `nowMs` and `noNewEpochBeforeMs` are wall times; the leader has promised not to start another
// epoch up to `noNewEpochBeforeMs`. Thread safety: pure.
ClaimHolders findClaimHolders(
    const wire::ClaimRing& ring, const std::string& key, int64_t nowMs, int64_t noNewEpochBeforeMs);

// What a coordinator does next.
enum class ClaimDecision {
    Wait, // for more answers
    Run, // the claim is granted
    Replay, // the request ran; return its first answer
    Pending, // another attempt may be running the request
    Conflict, // the key was used for a different request
    NotRun, // a majority confirms that the request never ran, but it cannot be claimed now
    Unknown, // the answers do not show whether the request ran
};

// Answers of the holders so far, one entry per holder; empty until the holder has answered.
using ClaimAnswers = std::vector<std::optional<wire::ClaimAnswer>>;

// Returns the next step of a coordinator. `quorum` is ClaimHolders::quorum. `final` means that no further answers will
// arrive. Thread safety: pure.
ClaimDecision decideClaim(const ClaimAnswers& answers, size_t quorum, bool final);

} // namespace pomelowind::claims
