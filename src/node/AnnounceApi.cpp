#include "AnnounceApi.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Json.h"

namespace pomelowind::node {

namespace {

    using nlohmann::json;

    constexpr int MAX_SLOTS = 10000;
    constexpr int STATUS_UNAVAILABLE = 503;

    http::HttpResponse jsonResponse(int status, const json& body)
    {
        http::HttpResponse out;
        out.status = status;
        out.headers = { { "Content-Type", "application/json" } };
        out.body = base::jsonText(body);
        return out;
    }

    http::HttpResponse errorResponse(int status, const std::string& message, const std::string& remedy)
    {
        const char* error = status == STATUS_UNAVAILABLE ? "unavailable" : "invalid_input";
        return jsonResponse(status, { { "error", error }, { "message", message }, { "remedy", remedy } });
    }

    wire::TargetState::type parseState(const std::string& name)
    {
        if (name == "starting")
            return wire::TargetState::STARTING;
        if (name == "serving")
            return wire::TargetState::SERVING;
        if (name == "leaving")
            return wire::TargetState::LEAVING;
        if (name == "gone")
            return wire::TargetState::GONE;
        throw base::UserError(
            base::ErrorKind::InvalidInput, "unknown state '" + name + "'", "use starting, serving, leaving or gone");
    }

    Announcement parseAnnouncement(const std::string& body)
    {
        auto fields = base::parseJson(body);
        Announcement out;
        out.target = fields.at("target").get<std::string>();
        out.serviceName = fields.at("service").get<std::string>();
        out.version = fields.at("version").get<std::string>();
        out.address = base::parseAddress(fields.at("address").get<std::string>());
        out.slots = fields.at("slots").get<int>();
        out.incarnation = fields.at("incarnation").get<int64_t>();
        out.state = parseState(fields.at("state").get<std::string>());
        out.sequence = fields.value("sequence", int64_t(0));
        if (out.target.empty() || out.serviceName.empty() || out.version.empty() || out.slots < 1
            || out.slots > MAX_SLOTS)
            throw base::UserError(
                base::ErrorKind::InvalidInput, "a field is empty or out of range", "see docs/operate/targets.md");
        return out;
    }

    // Counts account routes whose service is not in the configuration. Validation at activation keeps this at 0.
    int countDanglingRoutes(const config::ConfigState& state)
    {
        int n = 0;
        for (const auto* account : state.accounts()) {
            for (const auto& route : account->routes)
                n += state.service(route.serviceName) ? 0 : 1;
        }
        return n;
    }

}

AnnounceApi::AnnounceApi(const NodeSettings& settings, DistributionCore& core, const base::Clock& clock)
    : m_settings(settings)
    , m_core(core)
    , m_clock(clock)
{
}

void AnnounceApi::handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply)
{
    if (request.path == "/v1/announce" && request.method == "POST")
        return announce(request.body, reply);
    if (request.path == "/v1/node" && request.method == "GET")
        return reply->send(status());
    reply->send(errorResponse(404, "no such resource", "use POST /v1/announce or GET /v1/node"));
}

void AnnounceApi::announce(const std::string& body, const std::shared_ptr<http::HttpReply>& reply)
{
    auto accepted = jsonResponse(200, { { "node", m_settings.id }, { "lease_ms", m_settings.targetLease.count() } });
    auto onRecorded = [reply, accepted](bool recorded) {
        reply->send(recorded
                ? accepted
                : errorResponse(STATUS_UNAVAILABLE,
                    "the departure is in force here, but the control hosts have not recorded it", "announce it again"));
    };
    try {
        auto announcement = parseAnnouncement(body);
        m_core.announce(announcement, m_clock.now());
        bool isLeaving
            = announcement.state == wire::TargetState::LEAVING || announcement.state == wire::TargetState::GONE;
        if (!isLeaving)
            return reply->send(accepted);
        m_core.whenRecorded(announcement.target, onRecorded, m_clock.now());
    } catch (const base::UserError& e) {
        reply->send(errorResponse(422, e.what(), e.remedy()));
    } catch (const json::exception& e) {
        reply->send(
            errorResponse(422, std::string("malformed announcement: ") + e.what(), "see docs/operate/targets.md"));
    }
}

http::HttpResponse AnnounceApi::status() const
{
    json targets = json::array();
    for (const auto& it : m_core.directory().liveTargets())
        targets.push_back({ { "target", it.target }, { "version", it.version }, { "state", static_cast<int>(it.state) },
            { "node", it.node } });
    json services = json::object();
    for (const auto* it : m_core.state().services())
        services[it->name] = { { "stable", it->stable }, { "candidate", it->candidate }, { "permille", it->permille } };
    return jsonResponse(200,
        { { "node", m_settings.id }, { "data_centre", m_settings.dataCentre }, { "version", m_core.state().version() },
            { "hash", std::to_string(m_core.state().hash()) }, { "serving", m_core.isServing() },
            { "parent", m_core.parentId() }, { "admitted", m_core.isAdmitted() }, { "children", m_core.childCount() },
            { "rejection", m_core.rejection() }, { "targets", targets }, { "services", services },
            { "dangling_routes", countDanglingRoutes(m_core.state()) } });
}

} // namespace pomelowind::node
