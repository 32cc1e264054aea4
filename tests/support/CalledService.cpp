#include "CalledService.h"

#include "platform/WireNames.h"

#include <algorithm>
#include <utility>

namespace pomelowind::tests {

namespace {

    constexpr auto STEP = base::Millis(5);
    constexpr double STEPS_PER_SECOND = 200;
    constexpr int STATUS_UNAVAILABLE = 503;
    constexpr char END_OF_HEADER[] = "\r\n\r\n";
    constexpr char ID_FIELD[] = "X-Request-Id: ";
    constexpr char LENGTH_FIELD[] = "Content-Length: ";
    constexpr char USUAL_PATH[] = "/again/1";
    constexpr char CALLERS_SERVICE[] = "s";

    CallPathFixture::Options fixtureOptions(const CalledService::Options& options, const base::Clock& clock)
    {
        CallPathFixture::Options out;
        out.nodes = options.nodes;
        out.dataCentres.resize(static_cast<size_t>(options.nodes), "east");
        out.targetsAt = options.targetsAt;
        out.slots = options.slots;
        out.clock = &clock;
        out.services = options.services;
        out.usesProductProtocol = options.usesProductProtocol;
        out.coldCallsPerSecond = options.coldCallsPerSecond;
        out.coldLeft = options.coldLeft;
        out.gatesKnowColdRate = options.gatesKnowColdRate;
        return out;
    }

    std::string headerLine(const std::string& name, const std::string& value) { return name + ": " + value + "\r\n"; }

    std::string bodyOf(int node) { return "from the target of node " + std::to_string(node) + "."; }

    std::string fieldOf(const std::string& message, const std::string& field)
    {
        auto from = message.find(field);
        if (from == std::string::npos)
            return {};
        from += field.size();
        return message.substr(from, message.find("\r\n", from) - from);
    }

    // Returns the status of a complete response, or 0 when it is not complete yet.
    int statusOfResponse(const std::string& received)
    {
        auto end = received.find(END_OF_HEADER);
        if (end == std::string::npos)
            return 0;
        auto length = fieldOf(received, LENGTH_FIELD);
        bool isComplete = received.size() >= end + sizeof END_OF_HEADER - 1 + std::stoul("0" + length);
        return isComplete ? std::stoi(received.substr(sizeof "HTTP/1.1", 3)) : 0;
    }

}

CalledService::CalledService(const Options& options)
    : m_options(options)
    , m_random(options.seed)
    , m_fixture(fixtureOptions(options, m_clock))
{
    for (int i : options.targetsAt)
        m_targets[i];
}

void CalledService::run(base::Millis duration, double callsPerSecond)
{
    for (auto end = m_clock.now() + duration; m_clock.now() < end; m_clock.advance(STEP)) {
        for (double n = callsPerSecond / STEPS_PER_SECOND; n > 0; n -= 1) {
            if (!m_random.bernoulli(std::min(1.0, n)))
                continue;
            auto node = static_cast<int>(m_random.uniformBelow(static_cast<uint64_t>(m_options.nodes)));
            auto path = m_options.distinctPaths ? "/again/" + std::to_string(m_calls.size()) : USUAL_PATH;
            send(node, m_options.resends, path, {});
        }
        for (auto& [node, target] : m_targets) {
            if (target.downUntil && m_clock.now() >= *target.downUntil) {
                target.downUntil.reset();
                m_fixture.startTarget(node, m_options.announcesStarts);
            }
        }
        m_fixture.step();
        for (auto& [node, target] : m_targets)
            serve(node, target);
        m_fixture.step();
        readAnswers();
    }
}

void CalledService::setNotice(int i, const targets::TargetNotice& notice)
{
    using namespace platform::names;
    auto& target = m_targets.at(i);
    auto before = std::exchange(target.headers, {});
    if (notice.maxCallsPerSecond)
        target.headers += headerLine(SERVER_LIMIT, std::to_string(*notice.maxCallsPerSecond));
    if (notice.leaving)
        target.headers += headerLine(SERVER_LEAVING, YES);
    // A node that knows of a notice keeps to the next one from the first response on.
    if (before.empty() || target.headers.empty())
        target.informedNodes.clear();
}

RawConnectionPtr CalledService::idleConnection(int node)
{
    auto& idle = m_idle[node];
    while (!idle.empty()) {
        auto out = idle.back();
        idle.pop_back();
        if (!out->closed)
            return out;
    }
    return m_fixture.connect(node);
}

std::string CalledService::send(int node, int resendsLeft, const std::string& path, const std::string& body)
{
    auto id = "c" + std::to_string(m_calls.size());
    auto connection = idleConnection(node);
    connection->received.clear();
    connection->write(path == USUAL_PATH ? CallPathFixture::get(id) : CallPathFixture::request(id, path, body));
    m_calls[id] = { m_clock.now(), node, connection, resendsLeft, path, body };
    m_open.push_back(id);
    return id;
}

std::string CalledService::send(int i, const std::string& path, const std::string& body)
{
    return send(i, 0, path, body);
}

std::string CalledService::sendAgain(int i, const std::string& id)
{
    auto call = m_calls.at(id);
    return send(i, 0, call.path, call.body);
}

int CalledService::statusOf(const std::string& id) const { return m_calls.at(id).status; }

void CalledService::setCrashing(const std::string& path, const std::string& body)
{
    m_deadlyPath = path;
    m_deadlyBody = body;
}

bool CalledService::isCrashing(const ArrivedCall& call) const
{
    auto node = static_cast<size_t>(call.node);
    auto service = node < m_options.services.size() ? m_options.services[node] : CALLERS_SERVICE;
    return !m_deadlyPath.empty() && call.path == m_deadlyPath && call.body == m_deadlyBody
        && service == CALLERS_SERVICE;
}

void CalledService::crash(int node, Target& target)
{
    TargetCrash out { m_clock.now(), node, {} };
    for (const auto& served : target.served) {
        for (const auto& it : served.answers)
            out.running.push_back(it.id);
    }
    m_crashes.push_back(std::move(out));
    target.served.clear();
    target.crashAt.reset();
    target.downUntil = m_clock.now() + m_options.downTime;
    m_fixture.crashTarget(node);
}

void CalledService::readAnswers()
{
    std::vector<Sent> refused;
    std::erase_if(m_open, [this, &refused](const std::string& id) {
        auto& call = m_calls.at(id);
        int status = statusOfResponse(call.connection->received);
        if (!status && !call.connection->closed)
            return false;
        call.status = status;
        for (auto& [node, target] : m_targets) {
            bool isFromIt = call.connection->has(bodyOf(node));
            if (isFromIt && !target.headers.empty() && call.connection->has(target.headers))
                target.informedNodes.try_emplace(call.node, m_clock.now());
        }
        m_ended.push_back({ status, std::chrono::duration_cast<base::Millis>(m_clock.now() - call.at) });
        if (!call.connection->closed)
            m_idle[call.node].push_back(call.connection);
        if (status == STATUS_UNAVAILABLE && call.resendsLeft > 0)
            refused.push_back(call);
        return true;
    });
    for (const auto& it : refused)
        send(it.node, it.resendsLeft - 1, it.path, it.body);
}

void CalledService::serve(int node, Target& target)
{
    auto& connections = m_fixture.targetConnections(node);
    target.served.resize(connections.size());
    for (size_t i = 0; i < connections.size(); ++i) {
        auto& connection = *connections[i];
        auto& served = target.served[i];
        for (auto end = connection.received.find(END_OF_HEADER, served.readBytes); end != std::string::npos;
             end = connection.received.find(END_OF_HEADER, served.readBytes)) {
            auto header = connection.received.substr(served.readBytes, end - served.readBytes);
            auto id = fieldOf(header, ID_FIELD);
            auto bodyBytes = std::stoul("0" + fieldOf(header, LENGTH_FIELD));
            if (connection.received.size() < end + sizeof END_OF_HEADER - 1 + bodyBytes)
                break;
            served.readBytes = end + sizeof END_OF_HEADER - 1 + bodyBytes;
            const auto& call = m_calls.at(id);
            auto informed = target.informedNodes.find(call.node);
            target.arrivals.push_back({ m_clock.now(), call.at, call.node,
                informed == target.informedNodes.end() ? std::nullopt : std::optional(informed->second), call.path,
                call.body });
            if (isCrashing(target.arrivals.back())) {
                target.crashAt = target.crashAt.value_or(m_clock.now() + m_options.crashDelay);
                continue;
            }
            served.answers.push_back({ m_clock.now() + m_options.serviceTime, id,
                CallPathFixture::answer(id, bodyOf(node), 200, target.headers) });
        }
        if (target.crashAt && m_clock.now() >= *target.crashAt)
            return crash(node, target);
        std::erase_if(served.answers, [&](const Answer& it) {
            if (it.due > m_clock.now())
                return false;
            if (!connection.closed)
                connection.write(it.bytes);
            return true;
        });
    }
}

void CalledService::restart(int i)
{
    m_fixture.restart(i);
    m_idle.erase(i);
    forgetInformed(i);
}

void CalledService::setFrozen(int i, bool frozen)
{
    m_fixture.setFrozen(i, frozen);
    forgetInformed(i);
}

// A restart or a freeze of a node excuses its callers' calls until it has passed on a notice again.
void CalledService::forgetInformed(int node)
{
    for (auto& [i, target] : m_targets)
        target.informedNodes.erase(node);
}

int CalledService::answered(int status, base::Millis time) const
{
    return static_cast<int>(std::count_if(
        m_ended.begin(), m_ended.end(), [&](const Ended& it) { return it.status == status && it.time <= time; }));
}

} // namespace pomelowind::tests
