#include "EvacuationOrders.h"

#include "pomelowind/config/ConfigMachine.h"

namespace pomelowind::control {

std::optional<wire::CommandResult> refusalOf(const EvacuationCheck& check)
{
    std::set<std::string> known(check.settings.begin(), check.settings.end());
    if (known.empty())
        known = check.directory;
    bool isKnown = known.count(check.dataCentre) || check.evacuated.count(check.dataCentre);
    if (isKnown || !config::isValidName(check.dataCentre))
        return std::nullopt;
    wire::CommandResult out;
    if (!check.isCertain) {
        out.code = wire::ResultCode::UNAVAILABLE;
        out.message = "this control host does not know yet whether data centre '" + check.dataCentre + "' exists";
        out.remedy = "send the order again";
        return out;
    }
    std::string names;
    for (const auto& it : known)
        names += (names.empty() ? "" : ", ") + it;
    out.code = wire::ResultCode::NOT_FOUND;
    out.message = "data centre '" + check.dataCentre + "' is unknown";
    out.remedy = "name one of: " + names;
    return out;
}

std::set<std::string> dataCentresOf(const nodes::Directory& directory)
{
    std::set<std::string> out;
    for (const auto& it : directory.allNodes())
        out.insert(it.dataCentre);
    for (const auto& it : directory.allTargets())
        out.insert(it.dataCentre);
    out.erase("");
    return out;
}

} // namespace pomelowind::control
