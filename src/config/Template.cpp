#include "pomelowind/config/Template.h"

#include "pomelowind/base/Settings.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace pomelowind::config {

namespace {

    using base::ErrorKind;
    using base::UserError;

    constexpr double MAX_RATE = 1e7;
    constexpr int64_t MAX_TIMEOUT_MS = 600000;
    constexpr int64_t MAX_PRIORITY = 9;
    constexpr size_t MAX_VALUE_BYTES = 1024;
    constexpr size_t MAX_TEMPLATE_BYTES = 256 * 1024;
    constexpr char DEFAULT_RATE[] = "1000";
    constexpr char DEFAULT_BURST[] = "1000";
    constexpr char DEFAULT_PRIORITY[] = "5";
    constexpr char DEFAULT_TIMEOUT_MS[] = "5000";

    TemplateRoute readRoute(base::SettingsReader& reader)
    {
        TemplateRoute route;
        route.host = reader.text("host");
        route.path = reader.text("path");
        route.methods = reader.optionalTexts("methods", { "GET" });
        route.serviceName = reader.text("service");
        route.timeoutMs = reader.text("timeout_ms", DEFAULT_TIMEOUT_MS);
        route.largeBody = reader.flag("large_body", false);
        route.idempotent = reader.flag("idempotent", !route.largeBody);
        if (route.largeBody && route.idempotent)
            reader.recordProblem(
                "large_body", "is set on an idempotent route", "set idempotent: false, or leave it out");
        if (!route.path.empty() && route.path.front() != '/')
            reader.recordProblem("path", "does not begin with '/'", "write an absolute path such as /lookup");
        if (route.methods.empty())
            reader.recordProblem("methods", "is empty", "list at least one method, such as GET");
        reader.checkUnknownKeys();
        return route;
    }

    TemplateParameter readParameter(base::SettingsReader& reader)
    {
        TemplateParameter parameter;
        parameter.name = reader.text("name");
        parameter.hasDefault = reader.has("default");
        parameter.defaultValue = reader.text("default", "");
        reader.checkUnknownKeys();
        return parameter;
    }

    // Returns the names that are referenced as ${name} in `text`.
    std::vector<std::string> references(const std::string& text)
    {
        std::vector<std::string> out;
        size_t at = 0;
        while ((at = text.find("${", at)) != std::string::npos) {
            auto end = text.find('}', at);
            if (end == std::string::npos)
                break;
            out.push_back(text.substr(at + 2, end - at - 2));
            at = end;
        }
        return out;
    }

    std::vector<std::string> textsWithReferences(const Template& source)
    {
        std::vector<std::string> out = { source.ratePerSecond, source.burst, source.priority };
        for (const auto& it : source.routes) {
            out.insert(out.end(), { it.host, it.path, it.serviceName, it.timeoutMs });
            out.insert(out.end(), it.methods.begin(), it.methods.end());
        }
        return out;
    }

    bool declares(const Template& source, const std::string& name)
    {
        return std::any_of(source.parameters.begin(), source.parameters.end(),
            [&](const TemplateParameter& it) { return it.name == name; });
    }

    void checkReferences(const Template& source, base::SettingsReader& reader)
    {
        for (const auto& text : textsWithReferences(source)) {
            for (const auto& name : references(text)) {
                if (!declares(source, name))
                    reader.recordProblem("parameters", "does not declare '" + name + "', which the template uses",
                        "add '- name: " + name + "' to the parameters");
            }
        }
    }

    // Resolves references with the parameters of one client account and converts the results.
    class Renderer {
    public:
        Renderer(const Template& source, const std::string& account, const Parameters& parameters)
            : m_source(source)
            , m_account(account)
        {
            for (const auto& it : source.parameters) {
                auto supplied = parameters.find(it.name);
                if (supplied != parameters.end())
                    m_values[it.name] = checkedValue(it.name, supplied->second);
                else if (it.hasDefault)
                    m_values[it.name] = it.defaultValue;
                else
                    throw UserError(ErrorKind::InvalidInput,
                        "parameter '" + it.name + "' of template '" + source.name + "' is missing for client account '"
                            + account + "'",
                        "give it as --param " + it.name + "=VALUE");
            }
            for (const auto& [name, value] : parameters) {
                if (!declares(source, name))
                    throw UserError(ErrorKind::InvalidInput,
                        "template '" + source.name + "' has no parameter '" + name + "'",
                        "remove it or correct its spelling");
            }
        }

        std::string resolve(const std::string& text) const
        {
            std::string out = text;
            for (const auto& name : references(text)) {
                std::string reference = "${" + name + "}";
                out.replace(out.find(reference), reference.size(), m_values.at(name));
            }
            return out;
        }

        double resolveNumber(const std::string& text, const std::string& field, double min, double max) const
        {
            std::string value = resolve(text);
            char* end = nullptr;
            double n = std::strtod(value.c_str(), &end);
            if (value.empty() || *end || !(n >= min && n <= max))
                throw UserError(ErrorKind::InvalidInput,
                    field + " '" + value + "' of client account '" + m_account + "' is not valid",
                    "give a number from " + std::to_string(min) + " to " + std::to_string(max));
            return n;
        }

    private:
        std::string checkedValue(const std::string& name, const std::string& value) const
        {
            bool printable = std::all_of(
                value.begin(), value.end(), [](char c) { return std::isprint(static_cast<unsigned char>(c)); });
            if (!printable || value.size() > MAX_VALUE_BYTES || value.find("${") != std::string::npos)
                throw UserError(ErrorKind::InvalidInput,
                    "value of parameter '" + name + "' for client account '" + m_account + "' is not valid",
                    "use at most 1024 printable characters without ${");
            return value;
        }

        const Template& m_source;
        std::string m_account;
        Parameters m_values;
    };

}

Template parseTemplate(const std::string& yaml)
{
    if (yaml.size() > MAX_TEMPLATE_BYTES)
        throw UserError(ErrorKind::InvalidInput, "template is larger than 256 KiB", "split it into smaller templates");
    auto reader = base::SettingsReader::fromText(yaml, "template");
    Template out;
    out.name = reader.text("name");
    for (auto& it : reader.mappings("routes"))
        out.routes.push_back(readRoute(it));
    if (reader.has("parameters")) {
        for (auto& it : reader.mappings("parameters"))
            out.parameters.push_back(readParameter(it));
    }
    out.ratePerSecond = reader.text("rate_per_second", DEFAULT_RATE);
    out.burst = reader.text("burst", DEFAULT_BURST);
    out.priority = reader.text("priority", DEFAULT_PRIORITY);
    checkReferences(out, reader);
    reader.finish();
    return out;
}

wire::AccountResource render(const Template& source, const std::string& account, const Parameters& parameters)
{
    Renderer renderer(source, account, parameters);
    wire::AccountResource out;
    out.name = account;
    out.templateName = source.name;
    out.ratePerSecond = renderer.resolveNumber(source.ratePerSecond, "rate_per_second", 0, MAX_RATE);
    out.burst = renderer.resolveNumber(source.burst, "burst", 1, MAX_RATE);
    out.priority = static_cast<int32_t>(renderer.resolveNumber(source.priority, "priority", 0, MAX_PRIORITY));
    for (const auto& it : source.routes) {
        wire::Route route;
        route.host = renderer.resolve(it.host);
        route.path = renderer.resolve(it.path);
        for (const auto& method : it.methods)
            route.methods.push_back(renderer.resolve(method));
        route.serviceName = renderer.resolve(it.serviceName);
        route.timeoutMs = static_cast<int32_t>(renderer.resolveNumber(it.timeoutMs, "timeout_ms", 1, MAX_TIMEOUT_MS));
        route.idempotent = it.idempotent;
        route.largeBody = it.largeBody;
        out.routes.push_back(std::move(route));
    }
    return out;
}

} // namespace pomelowind::config
