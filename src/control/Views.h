// JSON views of the state of a control core. The operators' API answers GET requests with them.
#pragma once

#include "ControlCore.h"
#include "pomelowind/operators/OperatorApi.h"

#include <string>

namespace pomelowind::control {

// An HTTP status and its JSON body.
struct ViewResponse {
    int status { 200 }; // HTTP status
    std::string json;
};

// Renders a view. `name` selects one item; when it is empty, all items are listed. `limit` bounds the history and audit
// lists. Thread safety: to be called on the decision thread.
ViewResponse renderView(const ControlCore& core, operators::View view, const std::string& name, size_t limit);

} // namespace pomelowind::control
