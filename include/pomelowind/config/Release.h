// A release is the whole configuration of services and routes in one submission, with the number of the release that it
// builds on. It is validated before it enters the log; ConfigMachine then applies its difference from the current
// state.
#pragma once

#include "pomelowind/config/ConfigState.h"

#include <string>
#include <vector>

namespace pomelowind::config {

// Key of the resource that holds the release's number and its limits on callers.
inline constexpr char RELEASE_KEY[] = "release";
// Returns the key of a release's route, for example "route/lookup".
std::string routeKey(const std::string& name);

// The difference between a state and a release.
struct ReleaseChange {
    std::vector<wire::Resource> set;
    std::vector<std::string> removed; // keys
};

// Validates the content of a release, independently of the current release. Throws UserError(InvalidInput) that names
// the first problem. Thread safety: pure.
void validateRelease(const wire::Release& release);

// Returns the resources of the release that differ from `state`, and the keys of the services, routes and client
// accounts that it no longer contains. A service that stays keeps its running version and its move.
// Precondition: the release passed validateRelease. Thread safety: pure.
ReleaseChange computeReleaseChange(const wire::Release& release, const ConfigState& state);

// Returns the request id of a release submission: a hash of its document, so that a resend is recognized as the same
// submission. Thread safety: pure.
std::string releaseRequestId(const std::string& document);

} // namespace pomelowind::config
