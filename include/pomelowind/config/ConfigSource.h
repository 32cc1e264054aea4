// Client of an external source of templates and client accounts' parameters. The leader polls it and submits each
// update as a command. The source may be slow, unavailable, or deliver updates out of order: nothing else waits for it,
// and an older update never replaces a newer one.
#pragma once

#include "pomelowind/base/Settings.h"
#include "pomelowind/base/Wire.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelowind::config {

// An update of one template or one client account. `sequence` orders the updates of the same item. A template has
// `body` set, an account `templateName` and `parameters`.
struct SourceUpdate {
    int64_t sequence { 0 };
    std::string name;
    std::string body;
    std::string templateName;
    std::map<std::string, std::string> parameters;
    bool operator==(const SourceUpdate&) const = default;
};

// Interface to a source. Thread safety: confined to one event loop thread.
class ConfigSource {
public:
    // Receives the updates, or nothing when the source is unavailable or its answer is malformed.
    using Done = std::function<void(std::optional<std::vector<SourceUpdate>>)>;
    virtual ~ConfigSource() = default;
    // Requests the updates with a sequence above `after`. `done` is called once.
    virtual void poll(int64_t after, Done done) = 0;
};

// Returns a source that requests GET /updates?after=N at `address`. The answer is a JSON list of {sequence, name, body}
// or {sequence, name, template, parameters}. Precondition: `io` outlives the source.
std::unique_ptr<ConfigSource> makeHttpSource(boost::asio::io_context& io, const base::Address& address);

// Parses such a list. Leaves out entries that are malformed or have a sequence below 1 or above 2^53 - 1, which would
// end the polling of all later ones, and logs them. Returns nothing when the text is no list. Thread safety: pure.
std::optional<std::vector<SourceUpdate>> parseSourceUpdates(const std::string& text);

// Returns the command that submits an update. Thread safety: pure.
wire::Command toCommand(const SourceUpdate& update);

} // namespace pomelowind::config
