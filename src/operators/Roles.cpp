#include "pomelowind/operators/Roles.h"

#include "pomelowind/base/Hash.h"

#include <algorithm>

namespace pomelowind::operators {

namespace {

    constexpr size_t SHA256_HEX_LENGTH = 64;

    bool matchesPattern(const std::string& pattern, const std::string& subject)
    {
        if (!pattern.empty() && pattern.back() == '*')
            return subject.compare(0, pattern.size() - 1, pattern, 0, pattern.size() - 1) == 0;
        return pattern == subject;
    }

    Operator readOperator(base::SettingsReader& reader)
    {
        Operator out { reader.text("name"), reader.text("team"), reader.text("token_sha256") };
        if (out.tokenSha256.size() != SHA256_HEX_LENGTH)
            reader.recordProblem(
                "token_sha256", "is not a SHA-256 in hex", "write the output of: printf %s TOKEN | sha256sum");
        reader.checkUnknownKeys();
        return out;
    }

    Team readTeam(base::SettingsReader& reader)
    {
        Team out { reader.text("name"), reader.optionalTexts("read", { "*" }), reader.optionalTexts("change", {}),
            reader.optionalTexts("move", {}) };
        reader.checkUnknownKeys();
        return out;
    }

}

Roles::Roles(std::vector<Operator> operators, std::vector<Team> teams)
    : m_operators(std::move(operators))
    , m_teams(std::move(teams))
{
}

Roles Roles::fromSettings(base::SettingsReader& reader)
{
    std::vector<Operator> operators;
    std::vector<Team> teams;
    for (auto& it : reader.mappings("operators"))
        operators.push_back(readOperator(it));
    for (auto& it : reader.mappings("teams"))
        teams.push_back(readTeam(it));
    for (const auto& it : operators) {
        bool known = std::any_of(teams.begin(), teams.end(), [&](const Team& team) { return team.name == it.team; });
        if (!known)
            reader.recordProblem(
                "operators", "names unknown team '" + it.team + "'", "add the team to 'teams' or correct its name");
    }
    return { std::move(operators), std::move(teams) };
}

std::optional<Operator> Roles::authenticate(std::string_view token) const
{
    std::string hash = base::sha256Hex(token);
    for (const auto& it : m_operators) {
        if (base::constantTimeEqual(it.tokenSha256, hash))
            return it;
    }
    return std::nullopt;
}

bool Roles::allows(const Operator& requester, Permission permission, const std::string& subject) const
{
    auto team = std::find_if(m_teams.begin(), m_teams.end(), [&](const Team& it) { return it.name == requester.team; });
    if (team == m_teams.end())
        return false;
    const auto& patterns = permission == Permission::Read ? team->readPatterns
        : permission == Permission::Change                ? team->changePatterns
                                                          : team->movePatterns;
    return std::any_of(
        patterns.begin(), patterns.end(), [&](const std::string& it) { return matchesPattern(it, subject); });
}

} // namespace pomelowind::operators
