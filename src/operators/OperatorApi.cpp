#include "pomelowind/operators/OperatorApi.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Json.h"
#include "pomelowind/config/ConfigMachine.h"

#include <algorithm>
#include <limits>
#include <map>

namespace pomelowind::operators {

namespace {

    using base::ErrorKind;
    using base::UserError;
    using nlohmann::json;
    using wire::CommandKind;
    using wire::ResultCode;

    constexpr size_t DEFAULT_LIMIT = 100;
    constexpr size_t MAX_LIMIT = 10000;
    constexpr char MEMBERS_SUBJECT[] = "members/control";

    // A request target (RFC 9112): the segments of the path and the query parameters.
    struct RequestTarget {
        std::vector<std::string> segments;
        std::map<std::string, std::string> query;
    };

    std::vector<std::string> split(const std::string& text, char separator)
    {
        std::vector<std::string> out;
        size_t at = 0;
        while (at <= text.size()) {
            auto end = std::min(text.find(separator, at), text.size());
            if (end > at)
                out.push_back(text.substr(at, end - at));
            at = end + 1;
        }
        return out;
    }

    RequestTarget parseRequestTarget(const std::string& path)
    {
        RequestTarget out;
        auto queryStart = path.find('?');
        out.segments = split(path.substr(0, queryStart), '/');
        if (queryStart != std::string::npos) {
            for (const auto& it : split(path.substr(queryStart + 1), '&')) {
                auto equals = it.find('=');
                out.query[it.substr(0, equals)] = equals == std::string::npos ? "" : it.substr(equals + 1);
            }
        }
        return out;
    }

    http::HttpResponse jsonResponse(int status, std::string body)
    {
        http::HttpResponse out;
        out.status = status;
        out.headers = { { "Content-Type", "application/json" } };
        out.body = std::move(body);
        return out;
    }

    http::HttpResponse errorResponse(
        int status, const std::string& error, const std::string& message, const std::string& remedy)
    {
        return jsonResponse(
            status, base::jsonText({ { "error", error }, { "message", message }, { "remedy", remedy } }));
    }

    int httpStatusOf(ResultCode::type code)
    {
        switch (code) {
        case ResultCode::ACCEPTED:
        case ResultCode::UNCHANGED:
            return 200;
        case ResultCode::CONFLICT:
            return 409;
        case ResultCode::INVALID:
            return 422;
        case ResultCode::NOT_FOUND:
            return 404;
        case ResultCode::DENIED:
            return 403;
        case ResultCode::BUSY:
            return 429;
        case ResultCode::UNAVAILABLE:
            return 503;
        }
        return 500;
    }

    http::HttpResponse resultResponse(const wire::CommandResult& result, const std::string& requestId)
    {
        json body { { "result", config::resultCodeName(result.code) }, { "version", result.version },
            { "request_id", requestId } };
        if (!result.message.empty()) {
            body["error"] = config::resultCodeName(result.code);
            body["message"] = result.message;
            body["remedy"] = result.remedy;
        }
        return jsonResponse(httpStatusOf(result.code), base::jsonText(body));
    }

    // Typed access to the fields of a JSON body. Throws UserError(InvalidInput) that names the wrong field.
    class JsonBody {
    public:
        explicit JsonBody(const std::string& text)
        {
            m_json = base::parseJson(text.empty() ? "{}" : text);
            if (!m_json.is_object())
                throw UserError(ErrorKind::InvalidInput, "the body is not a JSON object", "send a JSON object");
        }

        std::string stringField(const std::string& key) const
        {
            auto it = m_json.find(key);
            if (it == m_json.end() || !it->is_string() || it->get<std::string>().empty())
                throw UserError(ErrorKind::InvalidInput, "field '" + key + "' is missing or not a text",
                    "add \"" + key + "\" to the body");
            return it->get<std::string>();
        }

        int64_t integerField(const std::string& key) const
        {
            auto it = m_json.find(key);
            bool isTooLarge = it != m_json.end() && it->is_number_unsigned()
                && it->get<uint64_t>() > static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
            if (it == m_json.end() || !it->is_number_integer() || isTooLarge)
                throw UserError(ErrorKind::InvalidInput, "field '" + key + "' is missing or not a whole number",
                    "add \"" + key + "\" to the body");
            return it->get<int64_t>();
        }

        std::map<std::string, std::string> stringMapField(const std::string& key) const
        {
            std::map<std::string, std::string> out;
            auto it = m_json.find(key);
            if (it == m_json.end())
                return out;
            if (!it->is_object())
                throw UserError(
                    ErrorKind::InvalidInput, "field '" + key + "' is not an object", "send an object of texts");
            for (const auto& [name, value] : it->items()) {
                if (!value.is_string())
                    throw UserError(
                        ErrorKind::InvalidInput, "'" + name + "' in '" + key + "' is not a text", "write it in quotes");
                out[name] = value.get<std::string>();
            }
            return out;
        }

        std::vector<std::string> stringListField(const std::string& key) const
        {
            std::vector<std::string> out;
            auto it = m_json.find(key);
            if (it == m_json.end() || !it->is_array())
                throw UserError(ErrorKind::InvalidInput, "field '" + key + "' is missing or not a list",
                    "add \"" + key + "\" to the body");
            for (const auto& item : *it) {
                if (!item.is_string())
                    throw UserError(ErrorKind::InvalidInput, "'" + key + "' holds something other than texts",
                        "send a list of texts");
                out.push_back(item.get<std::string>());
            }
            return out;
        }

    private:
        json m_json;
    };

    std::optional<View> findView(const std::string& name)
    {
        static const std::map<std::string, View> VIEWS = { { "services", View::Services },
            { "templates", View::Templates }, { "accounts", View::Accounts }, { "moves", View::Moves },
            { "status", View::Status }, { "history", View::History }, { "audit", View::Audit },
            { "members", View::Members }, { "resources", View::Resources }, { "evacuations", View::Evacuations } };
        auto it = VIEWS.find(name);
        return it == VIEWS.end() ? std::nullopt : std::optional(it->second);
    }

    // The kind of resource in a subject: the singular of the collection, for example "services" -> "service".
    std::string resourceKind(const std::string& collection)
    {
        return collection.back() == 's' && collection != "status" ? collection.substr(0, collection.size() - 1)
                                                                  : collection;
    }

    std::string bearerToken(const http::HttpRequest& request)
    {
        std::string value(http::findHeader(request.headers, "Authorization"));
        constexpr std::string_view BEARER_PREFIX = "Bearer ";
        return value.compare(0, BEARER_PREFIX.size(), BEARER_PREFIX) == 0 ? value.substr(BEARER_PREFIX.size())
                                                                          : std::string();
    }

}

// An authenticated request and where to reply.
struct OperatorApi::Exchange {
    http::HttpRequest request;
    std::shared_ptr<http::HttpReply> reply;
    Operator requester;
    RequestTarget requestTarget;
};

OperatorApi::OperatorApi(const Roles& roles, ControlBackend& backend)
    : m_roles(roles)
    , m_backend(backend)
{
}

void OperatorApi::handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply)
{
    auto requester = m_roles.authenticate(bearerToken(request));
    if (!requester)
        return reply->send(errorResponse(401, "denied", "no valid bearer token",
            "send 'Authorization: Bearer TOKEN' of an operator in the settings"));
    Exchange exchange { std::move(request), std::move(reply), *requester, {} };
    exchange.requestTarget = parseRequestTarget(exchange.request.path);
    const auto& segments = exchange.requestTarget.segments;
    try {
        if (segments.size() < 2 || segments[0] != "v1" || !findView(segments[1]))
            return exchange.reply->send(errorResponse(404, "not_found", "no such resource: " + exchange.request.path,
                "see docs/operate/api.md for the paths"));
        if (exchange.request.method == "GET")
            return handleRead(exchange);
        handleWrite(exchange);
    } catch (const UserError& e) {
        exchange.reply->send(errorResponse(422, base::errorKindName(e.kind()), e.what(), e.remedy()));
    }
}

void OperatorApi::handleRead(const Exchange& exchange)
{
    const auto& segments = exchange.requestTarget.segments;
    std::string name = segments.size() > 2 ? segments[2] : "";
    std::string subject = resourceKind(segments[1]) + "/" + name;
    if (!m_roles.allows(exchange.requester, Permission::Read, subject))
        return submit(exchange, {}, Permission::Read, subject);
    auto limit = exchange.requestTarget.query.find("limit");
    size_t requestedLimit = limit == exchange.requestTarget.query.end()
        ? DEFAULT_LIMIT
        : static_cast<size_t>(std::max(1, std::atoi(limit->second.c_str())));
    m_backend.view(*findView(segments[1]), name, std::min(requestedLimit, MAX_LIMIT),
        [reply = exchange.reply](int status, std::string body) { reply->send(jsonResponse(status, std::move(body))); });
}

void OperatorApi::handleWrite(const Exchange& exchange)
{
    const auto& segments = exchange.requestTarget.segments;
    const auto& method = exchange.request.method;
    if (segments[1] == "members" && method == "PUT")
        return changeMembers(exchange);
    wire::Command command;
    std::string action = method + " " + segments[1] + (segments.size() > 3 ? " " + segments[3] : "");
    JsonBody body(exchange.request.body);
    command.name = segments.size() > 2 ? segments[2] : "";
    auto permission = Permission::Change;
    std::string subject = resourceKind(segments[1]) + "/" + command.name;
    if (action == "PUT services") {
        command.kind = CommandKind::SET_SERVICE;
        command.body = body.stringField("version");
    } else if (action == "DELETE services") {
        command.kind = CommandKind::REMOVE_SERVICE;
    } else if (action == "PUT templates") {
        command.kind = CommandKind::SUBMIT_TEMPLATE;
        command.body = body.stringField("body");
    } else if (action == "PUT accounts") {
        command.kind = CommandKind::SET_ACCOUNT;
        command.templateName = body.stringField("template");
        command.parameters = body.stringMapField("parameters");
    } else if (action == "DELETE accounts") {
        command.kind = CommandKind::REMOVE_ACCOUNT;
    } else if (action == "POST moves") {
        command.kind = CommandKind::START_MOVE;
        wire::MoveAsk ask;
        ask.id = body.stringField("id");
        ask.serviceName = body.stringField("service");
        ask.toVersion = body.stringField("to_version");
        ask.deadlineMs = body.integerField("deadline_ms");
        ask.watchMs = body.integerField("watch_ms");
        command.__set_move(ask);
        permission = Permission::Move;
        subject = "service/" + ask.serviceName;
    } else if (action == "PUT evacuations") {
        command.kind = CommandKind::START_EVACUATION;
    } else if (action == "DELETE evacuations") {
        command.kind = CommandKind::FINISH_EVACUATION;
    } else if (action == "POST moves take-back") {
        command.kind = CommandKind::TAKE_BACK_MOVE;
        permission = Permission::Move;
        subject = "service/" + body.stringField("service");
    } else {
        return exchange.reply->send(errorResponse(405, "invalid_input",
            method + " is not possible on " + exchange.request.path, "see docs/operate/api.md for the methods"));
    }
    command.requestId = body.stringField("request_id");
    command.baseVersion = body.integerField("base_version");
    submit(exchange, std::move(command), permission, subject);
}

void OperatorApi::submit(
    const Exchange& exchange, wire::Command command, Permission permission, const std::string& subject)
{
    command.actor = exchange.requester.name;
    command.team = exchange.requester.team;
    if (!m_roles.allows(exchange.requester, permission, subject)) {
        // Denied requests are recorded in the audit log too, as commands without effect.
        wire::Command denied;
        denied.kind = CommandKind::DENIED;
        denied.actor = exchange.requester.name;
        denied.team = exchange.requester.team;
        denied.name = subject;
        denied.body = "team '" + exchange.requester.team + "' may not do " + exchange.request.method + " on " + subject;
        command = denied;
    }
    std::string requestId = command.requestId;
    m_backend.submit(std::move(command), [reply = exchange.reply, requestId](const wire::CommandResult& result) {
        reply->send(resultResponse(result, requestId));
    });
}

void OperatorApi::changeMembers(const Exchange& exchange)
{
    JsonBody body(exchange.request.body);
    wire::Membership next;
    next.voters = body.stringListField("voters");
    next.learners = body.stringListField("learners");
    if (!m_roles.allows(exchange.requester, Permission::Change, MEMBERS_SUBJECT))
        return submit(exchange, {}, Permission::Change, MEMBERS_SUBJECT);
    m_backend.changeMembers(std::move(next), [reply = exchange.reply](bool accepted) {
        if (accepted)
            return reply->send(jsonResponse(202, R"({"result":"proposed"})"));
        reply->send(errorResponse(409, "conflict", "the membership cannot be changed now",
            "ask the leader, change one voter at a time, and wait until the last change is in force"));
    });
}

} // namespace pomelowind::operators
