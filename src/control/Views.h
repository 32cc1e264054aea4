// JSON views of a control core for operators.
#pragma once

#include "ControlCore.h"
#include "pomelowind/operators/OperatorApi.h"

#include <string>

namespace pomelowind::control {

// An answer to an operator's read.
struct ViewAnswer {
    int status { 200 };
    std::string json;
};

// Renders a view; `name` selects one item, empty means all. Precondition: called on the decision duty.
ViewAnswer renderView(const ControlCore& core, operators::View view, const std::string& name, size_t limit);

} // namespace pomelowind::control
