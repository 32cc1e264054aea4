// A template describes routes and a rate limit with ${parameter} references; each client account supplies the values.
// Rendering a template for an account gives the AccountResource that nodes receive.
#pragma once

#include "pomelowind/base/Wire.h"

#include <map>
#include <string>
#include <vector>

namespace pomelowind::config {

using Parameters = std::map<std::string, std::string>;

// A declared parameter, with an optional default value.
struct TemplateParameter {
    std::string name;
    bool hasDefault { false };
    std::string defaultValue;
    bool operator==(const TemplateParameter&) const = default;
};

// A route whose texts may contain unresolved ${parameter} references.
struct TemplateRoute {
    std::string host;
    std::string path;
    std::vector<std::string> methods;
    std::string serviceName;
    std::string timeoutMs;
    bool idempotent { true };
    bool largeBody { false };
    bool operator==(const TemplateRoute&) const = default;
};

// A parsed template. The number fields are texts because they may contain references.
struct Template {
    std::string name;
    std::vector<TemplateRoute> routes;
    std::vector<TemplateParameter> parameters;
    std::string ratePerSecond;
    std::string burst;
    std::string priority;
    bool operator==(const Template&) const = default;
};

// Parses a template from YAML. Thread safety: pure.
// Throws UserError(Settings) that lists every problem with its line and remedy, and UserError(InvalidInput) when the
// text is too large.
Template parseTemplate(const std::string& yaml);

// Renders a template with the parameters of one client account. Thread safety: pure.
// Throws UserError(InvalidInput) when a parameter is missing, unknown or makes a value invalid.
wire::AccountResource render(const Template& source, const std::string& account, const Parameters& parameters);

} // namespace pomelowind::config
