// Authentication and authorization of operators. An operator authenticates with a bearer token; its team determines
// which resources it may read, change, or start and roll back moves of.
#pragma once

#include "pomelowind/base/Settings.h"
#include "pomelowind/base/Wire.h"

#include <optional>
#include <string>
#include <vector>

namespace pomelowind::operators {

// The kind of access that a request needs to its subject.
enum class Permission { Read, Change, Move };

// An operator. Only the SHA-256 of the token is stored, in hexadecimal.
struct Operator {
    std::string name;
    std::string team;
    std::string tokenSha256;
    bool operator==(const Operator&) const = default;
};

// A team and its permissions. Each list holds patterns for subjects of the form "kind/name"; a '*' at the end of a
// pattern matches any suffix, for example "service/finder-*".
struct Team {
    std::string name;
    std::vector<std::string> readPatterns;
    std::vector<std::string> changePatterns;
    std::vector<std::string> movePatterns;
    bool operator==(const Team&) const = default;
};

// Holds all operators and teams of a mesh. Thread safety: immutable after construction.
class Roles {
public:
    Roles() = default;
    Roles(std::vector<Operator> operators, std::vector<Team> teams);

    // Reads the settings `operators` and `teams`. Problems are recorded in `reader`.
    static Roles fromSettings(base::SettingsReader& reader);

    // Returns the operator whose token this is, or nothing.
    std::optional<Operator> authenticate(std::string_view token) const;
    // Returns true when the operator's team has the permission for `subject`; false when the team is unknown.
    bool allows(const Operator& requester, Permission permission, const std::string& subject) const;

private:
    std::vector<Operator> m_operators;
    std::vector<Team> m_teams;
};

} // namespace pomelowind::operators
