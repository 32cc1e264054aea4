// Reads and validates settings files in YAML. All problems of a file are reported together, each with its line and a
// remedy.
#pragma once

#include "pomelowind/base/Time.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace pomelowind::base {

// A TCP address: a numeric IP address and a port.
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

    // Return a required value. A missing or malformed value is recorded as a problem, and an empty value is returned.
    std::string text(const std::string& key);
    Address address(const std::string& key);
    std::vector<std::string> texts(const std::string& key);
    std::vector<SettingsReader> mappings(const std::string& key);

    // Return an optional value, or `fallback` when the key is absent. A malformed value, or a number outside
    // [minimum, maximum], is recorded as a problem.
    std::string text(const std::string& key, const std::string& fallback);
    std::vector<std::string> optionalTexts(const std::string& key, std::vector<std::string> fallback);
    // The same, for a list of texts or a mapping, of which the keys are returned.
    std::vector<std::string> optionalNames(const std::string& key);
    int64_t integer(const std::string& key, int64_t fallback, int64_t minimum, int64_t maximum);
    double real(const std::string& key, double fallback, double minimum, double maximum);
    Millis millis(const std::string& key, Millis fallback, Millis minimum, Millis maximum);
    bool flag(const std::string& key, bool fallback);
    // Returns whether `key` has a value. Marks the key as known, as all methods above do.
    bool has(const std::string& key);

    // Records a problem that the caller found in the value of `key`, with the line of that key.
    void recordProblem(const std::string& key, const std::string& description, const std::string& remedy);
    // Records each key of this mapping that was never asked for as a problem. Call it for each of mappings() after
    // reading it; finish() does it for the mapping itself.
    void checkUnknownKeys();
    // Records the unknown keys and throws UserError(Settings) with all problems of the file when there are any.
    void finish();

private:
    // State shared by the readers of all mappings of one file.
    struct FileState {
        std::string file;
        std::vector<std::string> problems;
    };

    SettingsReader(const YAML::Node& node, std::shared_ptr<FileState> fileState);
    YAML::Node find(const std::string& key);
    void recordMissing(const std::string& key, const std::string& kind);
    void addProblem(int line, const std::string& description, const std::string& remedy);

    YAML::Node m_node;
    std::shared_ptr<FileState> m_fileState;
    std::set<std::string> m_knownKeys;
};

// Returns the seed addresses listed under `key`, each with its port replaced by `port`: a seed only identifies a host,
// and all hosts of a mesh use the same ports. Malformed entries are recorded as problems.
std::vector<Address> seedAddresses(SettingsReader& reader, const std::string& key, uint16_t port);

} // namespace pomelowind::base
