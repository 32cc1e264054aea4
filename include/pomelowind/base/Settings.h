// Settings in YAML, checked as a whole: every problem is reported with file, line and remedy.
#pragma once

#include "pomelowind/base/Time.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace pomelowind::base {

// A TCP address: an IP number and a port.
struct Address {
    std::string ip;
    uint16_t port { 0 };
    bool operator==(const Address&) const = default;
    auto operator<=>(const Address&) const = default;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

// Parses "127.0.0.1:7000". Thread safety: pure. Throws UserError(InvalidInput).
Address parseAddress(const std::string& text);

// Reads one mapping of a settings file and collects every problem instead of stopping at the first.
// Thread safety: confined to one thread.
//
//     SettingsReader reader = SettingsReader::fromFile("node.yaml");
//     std::string id = reader.text("id");
//     reader.finish(); // throws UserError(Settings) that lists all problems
class SettingsReader {
public:
    // Throws UserError(Settings) when the file cannot be read or is not YAML.
    static SettingsReader fromFile(const std::string& file);
    static SettingsReader fromText(const std::string& text, const std::string& name);

    // Required values; a missing or malformed one is recorded as a problem and a default is returned.
    std::string text(const std::string& key);
    Address address(const std::string& key);
    std::vector<std::string> texts(const std::string& key);
    std::vector<SettingsReader> items(const std::string& key);

    // Optional values.
    std::string text(const std::string& key, const std::string& fallback);
    std::vector<std::string> textsOr(const std::string& key, std::vector<std::string> fallback);
    int64_t integer(const std::string& key, int64_t fallback, int64_t least, int64_t most);
    double real(const std::string& key, double fallback, double least, double most);
    Millis millis(const std::string& key, Millis fallback, Millis least, Millis most);
    bool flag(const std::string& key, bool fallback);
    bool has(const std::string& key);

    // Records a problem of meaning that the caller found, at the line of `key`.
    void problem(const std::string& key, const std::string& what, const std::string& remedy);
    // Records the unknown keys of this mapping; for the items of a list.
    void checkUnknownKeys();
    // Reports unknown keys and throws UserError(Settings) when any problem was recorded.
    void finish();

private:
    struct Shared {
        std::string file;
        std::vector<std::string> problems;
    };

    SettingsReader(const YAML::Node& node, std::shared_ptr<Shared> shared);
    YAML::Node find(const std::string& key);
    void missing(const std::string& key, const std::string& kind);
    void addProblem(int line, const std::string& what, const std::string& remedy);

    YAML::Node m_node;
    std::shared_ptr<Shared> m_shared;
    std::set<std::string> m_known;
};

// The seeds listed under `key`, each with `port` in place of its own: seeds name the hosts, and all hosts of a mesh
// use the same ports. Malformed entries are recorded as problems.
std::vector<Address> seedAddresses(SettingsReader& reader, const std::string& key, uint16_t port);

} // namespace pomelowind::base
