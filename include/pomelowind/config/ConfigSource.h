// An outside source of templates and client accounts' parameters. It may be slow, out of order, or away; what runs
// never waits for it, and an older update never replaces a newer one.
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

// One update. `sequence` orders the updates of one item; `body` is set for a template, `templateName` for an account.
struct SourceUpdate {
    int64_t sequence { 0 };
    std::string name;
    std::string body;
    std::string templateName;
    std::map<std::string, std::string> parameters;
    bool operator==(const SourceUpdate&) const = default;
};

// Delivers updates. Thread safety: confined to one duty.
class ConfigSource {
public:
    // Gets the updates, or nothing when the source is away or answers nonsense.
    using Done = std::function<void(std::optional<std::vector<SourceUpdate>>)>;
    virtual ~ConfigSource() = default;
    // Asks for the updates after sequence `after`. `done` is called once.
    virtual void poll(int64_t after, Done done) = 0;
};

// GET /updates?after=N at `address`: a JSON list of {sequence, name, body} or {sequence, name, template, parameters}.
std::unique_ptr<ConfigSource> makeHttpSource(boost::asio::io_context& io, const base::Address& address);

// Parses such a list; nothing when it is malformed as a whole or in part. Thread safety: pure.
std::optional<std::vector<SourceUpdate>> parseSourceUpdates(const std::string& json);

// The command that an update becomes. Thread safety: pure.
wire::Command toCommand(const SourceUpdate& update);

} // namespace pomelowind::config
