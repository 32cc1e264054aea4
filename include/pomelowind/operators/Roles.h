// Who may do what. An operator proves itself by a bearer token; its team's role names what it may read, change or move.
#pragma once

#include "pomelowind/base/Settings.h"
#include "pomelowind/base/Wire.h"

#include <optional>
#include <string>
#include <vector>

namespace pomelowind::operators {

// What a request wants to do with a subject.
enum class Permission { Read, Change, Move };

// One operator; only the SHA-256 of its token is kept.
struct Operator {
    std::string name;
    std::string team;
    std::string tokenSha256;
    bool operator==(const Operator&) const = default;
};

// A team's role. Patterns are "kind/name" with '*' at the end for any rest, for example "service/finder-*".
struct Team {
    std::string name;
    std::vector<std::string> read;
    std::vector<std::string> change;
    std::vector<std::string> move;
    bool operator==(const Team&) const = default;
};

// Thread safety: immutable after construction.
class Roles {
public:
    Roles() = default;
    Roles(std::vector<Operator> operators, std::vector<Team> teams);

    // Reads the lists `operators` and `teams`; problems are recorded in `reader`.
    static Roles fromSettings(base::SettingsReader& reader);

    // The operator that holds `token`, or nothing.
    std::optional<Operator> authenticate(std::string_view token) const;
    bool allows(const Operator& who, Permission permission, const std::string& subject) const;

private:
    std::vector<Operator> m_operators;
    std::vector<Team> m_teams;
};

} // namespace pomelowind::operators
