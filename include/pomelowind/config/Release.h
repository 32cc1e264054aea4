// A release: the whole configuration in one submission, with the number of the release it builds on. It is checked
// before it enters the log and turned into the change of resources that nodes receive.
#pragma once

#include "pomelowind/config/ConfigState.h"

#include <string>
#include <vector>

namespace pomelowind::config {

// Key of the resource that holds a release's number and its bounds on callers.
inline constexpr char RELEASE_KEY[] = "release";
std::string routeKey(const std::string& name);

// What a release changes in a state.
struct ReleaseChange {
    std::vector<wire::Resource> set;
    std::vector<std::string> removed;
};

// Throws UserError(InvalidInput) that names the first problem of the content, whatever release is current.
// Thread safety: pure.
void checkRelease(const wire::Release& release);

// The resources that differ between `state` and the release. Versions and moves of services that stay are kept.
// Precondition: the release passed checkRelease. Thread safety: pure.
ReleaseChange changeOf(const wire::Release& release, const ConfigState& state);

// Identity of a release's document, under which an accepted submission is recognized when it is sent again.
// Thread safety: pure.
std::string releaseRequestId(const std::string& document);

} // namespace pomelowind::config
