// A template says how a service's traffic is routed; a client account fills in its parameters.
// Templates and parameters become the AccountResource that nodes receive.
#pragma once

#include "pomelowind/base/Wire.h"

#include <map>
#include <string>
#include <vector>

namespace pomelowind::config {

using Parameters = std::map<std::string, std::string>;

// One declared parameter.
struct TemplateParameter {
    std::string name;
    bool hasFallback { false };
    std::string fallback;
    bool operator==(const TemplateParameter&) const = default;
};

// One route, with ${parameter} references not yet filled in.
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

// A parsed template. Immutable once parsed.
struct Template {
    std::string name;
    std::vector<TemplateRoute> routes;
    std::vector<TemplateParameter> parameters;
    std::string ratePerSecond;
    std::string burst;
    std::string priority;
    bool operator==(const Template&) const = default;
};

// Parses a template's YAML. Thread safety: pure.
// Throws UserError(Settings) that lists every problem with its line and remedy.
Template parseTemplate(const std::string& yaml);

// Fills in the parameters of one client account. Thread safety: pure.
// Throws UserError(InvalidInput) when a parameter is missing, unknown or makes a value invalid.
wire::AccountResource render(const Template& source, const std::string& account, const Parameters& parameters);

} // namespace pomelowind::config
