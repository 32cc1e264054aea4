#include "pomelowind/base/Settings.h"

#include "pomelowind/base/Errors.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <sstream>

namespace pomelowind::base {

namespace {

    constexpr int MAX_PORT = 65535;

    template <class T> std::string rangeRemedy(T minimum, T maximum)
    {
        std::ostringstream out;
        out << "give a value from " << minimum << " to " << maximum;
        return out.str();
    }

}

Address parseAddress(const std::string& text)
{
    auto colon = text.rfind(':');
    boost::system::error_code ec;
    int port = 0;
    if (colon != std::string::npos) {
        boost::asio::ip::make_address(text.substr(0, colon), ec);
        const char* end = text.data() + text.size();
        auto parsed = std::from_chars(text.data() + colon + 1, end, port);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            port = 0;
    }
    if (colon == std::string::npos || ec || port < 1 || port > MAX_PORT)
        throw UserError(ErrorKind::InvalidInput, "'" + text + "' is not an address",
            "write an IP number, a colon and a port from 1 to 65535, as in 127.0.0.1:7000");
    return { text.substr(0, colon), static_cast<uint16_t>(port) };
}

SettingsReader::SettingsReader(const YAML::Node& node, std::shared_ptr<FileState> fileState)
    : m_node(node)
    , m_fileState(std::move(fileState))
{
    if (!m_node.IsMap())
        addProblem(m_node.Mark().line + 1, "expected a mapping", "write key: value pairs");
}

SettingsReader SettingsReader::fromFile(const std::string& file)
{
    try {
        auto fileState = std::make_shared<FileState>();
        fileState->file = file;
        return { YAML::LoadFile(file), fileState };
    } catch (const YAML::BadFile&) {
        throw UserError(ErrorKind::Settings, file + ": cannot be read", "check the path and its permissions");
    } catch (const YAML::Exception& e) {
        throw UserError(ErrorKind::Settings, file + ": " + e.what(), "correct the YAML at that line");
    }
}

SettingsReader SettingsReader::fromText(const std::string& text, const std::string& name)
{
    try {
        auto fileState = std::make_shared<FileState>();
        fileState->file = name;
        return { YAML::Load(text), fileState };
    } catch (const YAML::Exception& e) {
        throw UserError(ErrorKind::Settings, name + ": " + e.what(), "correct the YAML at that line");
    }
}

YAML::Node SettingsReader::find(const std::string& key)
{
    m_knownKeys.insert(key);
    if (!m_node.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    const YAML::Node& map = m_node;
    return map[key];
}

void SettingsReader::addProblem(int line, const std::string& description, const std::string& remedy)
{
    m_fileState->problems.push_back(
        m_fileState->file + ":" + std::to_string(line) + ": " + description + "; remedy: " + remedy);
}

void SettingsReader::recordProblem(const std::string& key, const std::string& description, const std::string& remedy)
{
    auto node = find(key);
    int line = (node.IsDefined() ? node.Mark().line : m_node.Mark().line) + 1;
    addProblem(line, "'" + key + "' " + description, remedy);
}

void SettingsReader::recordMissing(const std::string& key, const std::string& kind)
{
    recordProblem(key, "is missing or not " + kind, "set '" + key + "' to " + kind);
}

bool SettingsReader::has(const std::string& key)
{
    auto node = find(key);
    return node.IsDefined() && !node.IsNull();
}

std::string SettingsReader::text(const std::string& key)
{
    if (has(key) && find(key).IsScalar())
        return find(key).Scalar();
    recordMissing(key, "a text");
    return {};
}

std::string SettingsReader::text(const std::string& key, const std::string& fallback)
{
    return has(key) ? text(key) : fallback;
}

Address SettingsReader::address(const std::string& key)
{
    std::string value = text(key);
    if (value.empty())
        return {};
    try {
        return parseAddress(value);
    } catch (const UserError& e) {
        recordProblem(key, "is not an address", e.remedy());
        return {};
    }
}

std::vector<std::string> SettingsReader::texts(const std::string& key)
{
    auto node = find(key);
    if (!node.IsDefined() || !node.IsSequence()) {
        recordMissing(key, "a list of texts");
        return {};
    }
    std::vector<std::string> out;
    for (const auto& it : node) {
        if (it.IsScalar())
            out.push_back(it.Scalar());
        else
            addProblem(it.Mark().line + 1, "an item of '" + key + "' is not a text", "write one text for each item");
    }
    return out;
}

std::vector<std::string> SettingsReader::optionalNames(const std::string& key)
{
    if (!has(key) || !find(key).IsMap())
        return optionalTexts(key, {});
    std::vector<std::string> out;
    for (const auto& it : find(key))
        out.push_back(it.first.Scalar());
    return out;
}

std::vector<std::string> SettingsReader::optionalTexts(const std::string& key, std::vector<std::string> fallback)
{
    return has(key) ? texts(key) : std::move(fallback);
}

std::vector<SettingsReader> SettingsReader::mappings(const std::string& key)
{
    auto node = find(key);
    if (!node.IsDefined() || !node.IsSequence()) {
        recordMissing(key, "a list of mappings");
        return {};
    }
    std::vector<SettingsReader> out;
    for (const auto& it : node)
        out.push_back(SettingsReader(it, m_fileState));
    return out;
}

int64_t SettingsReader::integer(const std::string& key, int64_t fallback, int64_t minimum, int64_t maximum)
{
    if (!has(key))
        return fallback;
    try {
        auto value = find(key).as<int64_t>();
        if (value >= minimum && value <= maximum)
            return value;
        recordProblem(key, "is out of range", rangeRemedy(minimum, maximum));
    } catch (const YAML::Exception&) {
        recordProblem(key, "is not a whole number", rangeRemedy(minimum, maximum));
    }
    return fallback;
}

double SettingsReader::real(const std::string& key, double fallback, double minimum, double maximum)
{
    if (!has(key))
        return fallback;
    try {
        auto value = find(key).as<double>();
        if (value >= minimum && value <= maximum)
            return value;
        recordProblem(key, "is out of range", rangeRemedy(minimum, maximum));
    } catch (const YAML::Exception&) {
        recordProblem(key, "is not a number", rangeRemedy(minimum, maximum));
    }
    return fallback;
}

Millis SettingsReader::millis(const std::string& key, Millis fallback, Millis minimum, Millis maximum)
{
    return Millis(integer(key, fallback.count(), minimum.count(), maximum.count()));
}

bool SettingsReader::flag(const std::string& key, bool fallback)
{
    if (!has(key))
        return fallback;
    try {
        return find(key).as<bool>();
    } catch (const YAML::Exception&) {
        recordProblem(key, "is not true or false", "write true or false");
    }
    return fallback;
}

void SettingsReader::checkUnknownKeys()
{
    if (!m_node.IsMap())
        return;
    for (const auto& it : m_node) {
        std::string key = it.first.Scalar();
        if (!m_knownKeys.count(key))
            addProblem(it.first.Mark().line + 1, "unknown key '" + key + "'", "remove it or correct its spelling");
    }
}

void SettingsReader::finish()
{
    checkUnknownKeys();
    if (m_fileState->problems.empty())
        return;
    std::string message;
    for (const auto& it : m_fileState->problems)
        message += (message.empty() ? "" : "\n") + it;
    throw UserError(ErrorKind::Settings, message, "correct these lines and start again");
}

std::vector<Address> seedAddresses(SettingsReader& reader, const std::string& key, uint16_t port)
{
    std::vector<Address> out;
    for (const auto& it : reader.optionalTexts(key, {})) {
        try {
            out.push_back({ parseAddress(it).ip, port });
        } catch (const UserError&) {
            reader.recordProblem(key, "holds '" + it + "', which is not an address", "write IP:PORT");
        }
    }
    return out;
}

} // namespace pomelowind::base
