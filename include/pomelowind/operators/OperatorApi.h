// The operators' HTTP API of a control host. It authenticates, checks roles, and turns requests into commands.
#pragma once

#include "pomelowind/http/HttpServer.h"
#include "pomelowind/operators/Roles.h"

#include <functional>
#include <memory>
#include <string>

namespace pomelowind::operators {

// A view of the control host's state, as JSON text.
// Resources is the whole state in its wire form. Release is the newest whole configuration as submitted. ServiceMove is
// the newest move of the service that is named.
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
    ServiceMove
};

// What the API asks of the control host. Answers come on the API's duty.
class ControlGateway {
public:
    using CommandDone = std::function<void(wire::CommandResult)>;
    using ViewDone = std::function<void(int status, std::string json)>;
    virtual ~ControlGateway() = default;
    virtual void submit(wire::Command command, CommandDone done) = 0;
    // `name` selects one item, or is empty for all. `limit` bounds lists.
    virtual void view(View view, const std::string& name, size_t limit, ViewDone done) = 0;
    virtual void changeMembers(wire::Membership next, std::function<void(bool)> done) = 0;
};

// Makes the handler of the operators' address, for platforms with an API of their own.
using OperatorHandlerFactory = std::function<std::unique_ptr<http::HttpHandler>(ControlGateway&)>;

// Thread safety: confined to the API duty.
class OperatorApi final : public http::HttpHandler {
public:
    OperatorApi(const Roles& roles, ControlGateway& gateway);
    void handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply) override;

private:
    struct Call;
    void read(const Call& call);
    void write(const Call& call);
    void submit(const Call& call, wire::Command command, Permission permission, const std::string& subject);
    void changeMembers(const Call& call);

    const Roles& m_roles;
    ControlGateway& m_gateway;
};

} // namespace pomelowind::operators
