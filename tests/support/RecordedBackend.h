// Test doubles for handlers of operators' requests: a control host that records commands, and a reply.
#pragma once

#include "pomelowind/operators/OperatorApi.h"

#include <utility>
#include <vector>

namespace pomelowind::tests {

// Answers each command with `result`, a denied one as denied, and each view with an empty list.
class RecordedBackend final : public operators::ControlBackend {
public:
    void submit(wire::Command command, CommandDone done) override
    {
        commands.push_back(std::move(command));
        auto out = result;
        if (commands.back().kind == wire::CommandKind::DENIED)
            out.code = wire::ResultCode::DENIED;
        done(out);
    }
    void view(operators::View view, const std::string&, size_t, ViewDone done) override
    {
        views.push_back(view);
        done(200, "[]");
    }
    void changeMembers(wire::Membership, std::function<void(bool)>) override { }

    std::vector<wire::Command> commands;
    std::vector<operators::View> views;
    wire::CommandResult result;
};

class RecordedReply final : public http::HttpReply {
public:
    explicit RecordedReply(http::HttpResponse& response)
        : m_response(response)
    {
    }
    void send(http::HttpResponse response) override { m_response = std::move(response); }
    void sendTruncated(http::HttpResponse, size_t) override { }
    void onCancel(std::function<void()>) override { }

private:
    http::HttpResponse& m_response;
};

} // namespace pomelowind::tests
