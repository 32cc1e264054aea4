// The operators' HTTP API of a control host. It authenticates operators, checks their team's permissions, turns writes
// into commands for the replicated log, and answers reads from views of the control host's state.
#pragma once

#include "pomelowind/http/HttpServer.h"
#include "pomelowind/operators/Roles.h"

#include <functional>
#include <memory>
#include <string>

namespace pomelowind::operators {

// Names a view of the control host's state. A view is JSON text, except Resources: the whole state in its wire
// encoding. Release is the latest complete configuration, as submitted. ServiceMove is the latest move of the named
// service.
enum class View {
    Services,
    Templates,
    Accounts,
    Moves,
    Status,
    History,
    Audit,
    Members,
    Resources,
    Release,
    ServiceMove,
    Evacuations
};

// The interface from the API to the control host.
// Thread safety: confined to the API thread, on which the callbacks are called too.
class ControlBackend {
public:
    using CommandDone = std::function<void(wire::CommandResult)>;
    using ViewDone = std::function<void(int status, std::string json)>;
    virtual ~ControlBackend() = default;
    // Submits a command to the replicated log.
    virtual void submit(wire::Command command, CommandDone done) = 0;
    // Renders a view. `name` selects one item; when it is empty, all are listed. `limit` bounds the history and audit
    // lists.
    virtual void view(View view, const std::string& name, size_t limit, ViewDone done) = 0;
    // Proposes new voters and learners of the control group; `done` gets whether the proposal was accepted.
    virtual void changeMembers(wire::Membership next, std::function<void(bool)> done) = 0;
};

// Makes the HTTP handler for the operators' address, for platforms that bring their own API.
using OperatorHandlerFactory = std::function<std::unique_ptr<http::HttpHandler>(ControlBackend&)>;

// Handles the requests of the product's own API under /v1/.
// Thread safety: confined to the API thread.
class OperatorApi final : public http::HttpHandler {
public:
    // Precondition: `roles` and `backend` outlive the handler.
    OperatorApi(const Roles& roles, ControlBackend& backend);
    void handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply) override;

private:
    struct Exchange;
    void handleRead(const Exchange& exchange);
    void handleWrite(const Exchange& exchange);
    void submit(const Exchange& exchange, wire::Command command, Permission permission, const std::string& subject);
    void changeMembers(const Exchange& exchange);

    const Roles& m_roles;
    ControlBackend& m_backend;
};

} // namespace pomelowind::operators
