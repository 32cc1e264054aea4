// Who holds a key's claim, and what a coordinator may conclude from the holders' answers.
// A claim needs two of three holders. Any two pairs of holders share one, so two coordinators cannot both win.
#pragma once

#include "pomelowind/base/Wire.h"

#include <optional>
#include <string>
#include <vector>

namespace pomelowind::claims {

constexpr size_t CLAIM_HOLDERS = 3;

// Why a key cannot be used.
enum class KeyProblem { None, NotUuidV7, FromFuture, TooOld, NoEpoch };

// Where the claim of a key lives.
struct ClaimPlace {
    KeyProblem problem { KeyProblem::None };
    int64_t epoch { 0 };
    int64_t waitMs { 0 }; // how long the key is still in the future
    std::vector<wire::ClaimHolder> holders;
    size_t needed { 0 }; // grants that make a claim
};

// The holders of `key`. They follow from the key's own time, so every node that may act names the same ones.
// `throughMs` is how far the leader has promised not to start another epoch. Thread safety: pure.
ClaimPlace placeClaim(const wire::ClaimRing& ring, const std::string& key, int64_t nowMs, int64_t throughMs);

// What a coordinator does next.
enum class ClaimDecision {
    Wait, // more answers may come
    Run, // the claim is held
    Replay, // it ran; here is the first answer
    Pending, // another attempt may be running it
    Conflict, // the key was used for another request
    NotRun, // a majority knows that it never ran, but it cannot be claimed now
    Unknown, // nobody can tell
};

// Answers of the holders so far; an entry is empty while its holder has not answered.
using ClaimAnswers = std::vector<std::optional<wire::ClaimAnswer>>;

// `final` means that no further answers will come. Thread safety: pure.
ClaimDecision decideClaim(const ClaimAnswers& answers, size_t needed, bool final);

} // namespace pomelowind::claims
