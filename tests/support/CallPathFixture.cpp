#include "CallPathFixture.h"

#include "platform/PlatformCallProtocol.h"
#include "pomelowind/base/Listener.h"
#include "pomelowind/config/Release.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <unistd.h>

namespace pomelowind::tests {

namespace {

    using boost::asio::ip::tcp;

    constexpr uint16_t CALLER_PORT = 8001;
    constexpr uint16_t CALL_PORT = 8002;
    constexpr uint16_t TARGET_PORT = 8003;
    constexpr auto SWEEP_PERIOD = base::Millis(20);
    constexpr auto IDLE_PAUSE = std::chrono::microseconds(200);
    constexpr auto WAIT_TIMEOUT = base::Millis(20000);

    wire::Resource routeResource(const std::string& name, const std::string& path, bool idempotent, int maxAttempts)
    {
        wire::Route route;
        route.name = name;
        route.host = "a.example";
        route.path = path;
        route.serviceName = "s";
        route.timeoutMs = 5000;
        route.idempotent = idempotent;
        route.largeBody = !idempotent;
        route.maxAttempts = maxAttempts;
        route.objectiveMs = 2000;
        route.priority = idempotent ? 8 : 1;
        wire::Resource out;
        out.key = config::routeKey(name);
        out.__set_route(route);
        return out;
    }

}

void RawConnection::read()
{
    if (m_paused || m_reading)
        return;
    m_reading = true;
    socket.async_read_some(
        boost::asio::buffer(m_input), [self = shared_from_this()](boost::system::error_code ec, size_t n) {
            self->m_reading = false;
            if (ec) {
                self->closed = true;
                return;
            }
            self->received.append(self->m_input.data(), n);
            self->read();
        });
}

void RawConnection::resume()
{
    m_paused = false;
    read();
}

void RawConnection::write(const std::string& bytes)
{
    auto buf = std::make_shared<std::string>(bytes);
    boost::asio::async_write(
        socket, boost::asio::buffer(*buf), [self = shared_from_this(), buf](boost::system::error_code ec, size_t) {
            if (ec)
                self->closed = true;
        });
}

void RawConnection::writeRepeatedly(const std::string& piece)
{
    auto buf = std::make_shared<std::string>(piece);
    boost::asio::async_write(
        socket, boost::asio::buffer(*buf), [self = shared_from_this(), buf](boost::system::error_code ec, size_t n) {
            self->writtenBytes += n;
            if (ec)
                self->closed = true;
            else
                self->writeRepeatedly(*buf);
        });
}

void RawConnection::close()
{
    boost::system::error_code ec;
    socket.close(ec);
    closed = true;
}

CallPathFixture::CallPathFixture(Options options)
    : m_options(std::move(options))
    , m_clock(m_options.clock ? *m_options.clock : m_systemClock)
    , m_protocol(m_options.usesProductProtocol ? node::makeProductCallProtocol() : platform::makeCallProtocol())
{
    for (int i = 0; i < m_options.nodes; ++i)
        addNode(i);
    publish();
}

CallPathFixture::~CallPathFixture()
{
    for (auto& it : m_nodes) {
        it->path->close();
        it->targetPort->close();
        for (auto& connection : it->accepted)
            connection->close();
    }
    while (pollOne())
        ;
}

// Returns the loopback address of node `i`. Tests run in parallel processes, so each process uses its own addresses.
std::string CallPathFixture::ip(int i) const
{
    auto id = static_cast<int>(getpid());
    return "127." + std::to_string(100 + id / 250 % 100) + "." + std::to_string(id % 250) + "." + std::to_string(i + 1);
}

void CallPathFixture::addNode(int i)
{
    auto node = std::make_unique<Node>();
    auto& settings = node->settings;
    settings.mesh = "test";
    settings.meshKey = "a key for tests only";
    settings.id = "node-" + std::to_string(i);
    settings.dataCentre = m_options.dataCentres.at(static_cast<size_t>(i));
    settings.callerAddress = { ip(i), CALLER_PORT };
    settings.callAddress = { ip(i), CALL_PORT };
    settings.callAdvertised = settings.callAddress;
    auto index = static_cast<size_t>(i);
    settings.localService = index < m_options.services.size() ? m_options.services[index] : "s";
    settings.bodyMemoryBytes = m_options.bodyMemoryBytes;
    settings.maxBodyBytes = m_options.bodyMemoryBytes;
    settings.firstAttemptPercent = 100;
    settings.stopTimeout = m_options.stopTimeout;
    node->targetPort = std::make_unique<tcp::acceptor>(m_io);
    base::listenOn(*node->targetPort, { ip(i), TARGET_PORT });
    startPath(*node);
    accept(*node);
    m_nodes.push_back(std::move(node));
}

void CallPathFixture::startPath(Node& node)
{
    node.path = std::make_unique<node::CallPath>(
        node.io, node.settings, *m_protocol, m_clock,
        [this](const wire::Report& report) {
            m_crashesChanged |= !m_directory.mergeCrashes(report.crashes, m_clock.now()).empty();
        },
        1);
}

void CallPathFixture::restart(int i)
{
    auto connectedPeers = [this, i] {
        size_t n = 0;
        for (size_t other = 0; other < m_nodes.size(); ++other)
            n += other == static_cast<size_t>(i) ? 0 : m_nodes[other]->path->connectedPeers();
        return n;
    };
    auto& node = *m_nodes.at(static_cast<size_t>(i));
    auto before = connectedPeers();
    node.path->close();
    for (auto& it : node.accepted)
        it->close();
    m_endedPaths.push_back(std::move(node.path));
    runUntil([&] { return connectedPeers() < before; });
    startPath(node);
    publish();
    runUntil([&] { return connectedPeers() >= before; });
}

void CallPathFixture::crashTarget(int i)
{
    auto& node = *m_nodes.at(static_cast<size_t>(i));
    node.targetPort->close();
    for (auto& it : node.accepted)
        it->close();
    node.accepted.clear();
}

void CallPathFixture::startTarget(int i, bool announcesItself)
{
    auto& node = *m_nodes.at(static_cast<size_t>(i));
    ++node.targetIncarnation;
    base::listenOn(*node.targetPort, { ip(i), TARGET_PORT });
    accept(node);
    if (announcesItself)
        publish();
}

void CallPathFixture::setAccounts(std::vector<wire::ClientAccount> accounts)
{
    m_options.accounts = std::move(accounts);
    publish();
}

void CallPathFixture::setKeysHonouredUntil(base::Instant until)
{
    m_options.keysHonouredUntil = until;
    publish();
}

size_t CallPathFixture::pollOne()
{
    m_io.restart();
    size_t n = m_io.poll_one();
    for (auto& it : m_nodes) {
        it->io.restart();
        n += it->frozen ? 0 : it->io.poll_one();
    }
    return n;
}

void CallPathFixture::step()
{
    for (auto& it : m_nodes) {
        if (!it->frozen)
            it->path->sweep();
    }
    while (pollOne())
        ;
    if (std::exchange(m_crashesChanged, false))
        publish();
}

void CallPathFixture::accept(Node& node)
{
    node.targetPort->async_accept([this, &node](boost::system::error_code ec, tcp::socket socket) {
        if (ec)
            return;
        node.accepted.push_back(std::make_shared<RawConnection>(std::move(socket)));
        node.accepted.back()->start();
        accept(node);
    });
}

void CallPathFixture::setEvacuated(const std::set<std::string>& dataCentres, const std::vector<int>& nodes)
{
    for (int i : nodes) {
        auto& state = m_nodes.at(static_cast<size_t>(i))->evacuations;
        for (const auto& it : state.evacuatedDataCentres()) {
            if (!dataCentres.count(it))
                state = state.withoutResource(config::evacuationKey(it));
        }
        for (const auto& it : dataCentres) {
            wire::Resource resource;
            resource.key = config::evacuationKey(it);
            resource.evacuation.dataCentre = it;
            resource.__isset.evacuation = true;
            if (!state.find(resource.key))
                state = state.withResource(resource);
        }
    }
    publish();
}

void CallPathFixture::publish()
{
    wire::ServiceResource service;
    service.name = "s";
    service.coldCallsPerSecond = m_options.coldCallsPerSecond;
    wire::Resource resource;
    resource.key = config::serviceKey("s");
    resource.__set_serviceResource(service);
    auto view = std::make_shared<node::MeshView>();
    auto open = routeResource("open", "/open/", true, m_options.maxAttempts);
    open.route.withoutAccount = true;
    std::vector<wire::Resource> resources { resource, open,
        routeResource("once", "/once/", false, m_options.maxAttempts),
        routeResource("again", "/again/", true, m_options.maxAttempts) };
    for (const auto& it : m_options.accounts) {
        wire::Resource account;
        account.key = config::clientKey(it.name);
        account.__set_clientAccount(it);
        resources.push_back(account);
    }
    view->serving = true;
    view->crashes = std::make_shared<const nodes::CrashList>(m_directory.crashes());
    nodes::TargetList targets;
    for (int i : m_options.targetsAt) {
        auto& node = *m_nodes.at(static_cast<size_t>(i));
        node::Announcement announcement;
        announcement.target = "t" + std::to_string(i);
        announcement.serviceName = "s";
        announcement.version = "v1";
        announcement.address = { ip(i), TARGET_PORT };
        announcement.slots = m_options.slots;
        announcement.incarnation = node.targetIncarnation;
        announcement.coldLeft = m_options.coldLeft;
        announcement.receivedAt = m_clock.now();
        if (m_options.gatesKnowColdRate)
            announcement.coldCallsPerSecond = m_options.coldCallsPerSecond;
        node.path->setLocalTargets({ announcement });
        wire::Presence presence;
        presence.target = announcement.target;
        presence.serviceName = "s";
        presence.version = "v1";
        presence.dataCentre = node.settings.dataCentre;
        presence.node = node.settings.id;
        presence.callAddress = node.settings.callAddress.text();
        presence.incarnation = node.targetIncarnation;
        presence.targetIncarnation = node.targetIncarnation;
        presence.state = wire::TargetState::SERVING;
        presence.slots = m_options.slots;
        presence.coldLeftMs = static_cast<int32_t>(m_options.coldLeft.count());
        presence.sequence = ++m_presenceSequence;
        targets.push_back(presence);
    }
    view->targets = std::make_shared<nodes::TargetList>(std::move(targets));
    view->targetsAt = m_clock.now();
    for (auto& it : m_nodes) {
        auto own = std::make_shared<node::MeshView>(*view);
        own->config = std::make_shared<config::ConfigState>(it->evacuations.withChange(resources, {}));
        own->accountKeys = callers::AccountKeys::build(*own->config);
        own->keysHonouredUntil = m_options.keysHonouredUntil;
        own->routes = std::make_shared<node::RouteTable>(own->config);
        it->path->setView(own);
    }
}

void CallPathFixture::announce(base::Millis coldLeft)
{
    m_options.coldLeft = coldLeft;
    publish();
}

RawConnectionPtr CallPathFixture::connect(int i)
{
    tcp::socket socket(m_io);
    socket.connect({ boost::asio::ip::make_address(ip(i)), CALLER_PORT });
    auto out = std::make_shared<RawConnection>(std::move(socket));
    out->start();
    return out;
}

bool CallPathFixture::runUntil(const std::function<bool()>& condition)
{
    auto end = std::chrono::steady_clock::now() + WAIT_TIMEOUT;
    auto swept = std::chrono::steady_clock::now();
    while (!condition()) {
        auto now = std::chrono::steady_clock::now();
        if (now >= end)
            return false;
        if (now - swept >= SWEEP_PERIOD) {
            swept = now;
            for (auto& it : m_nodes) {
                if (!it->frozen)
                    it->path->sweep();
            }
        }
        if (!pollOne())
            std::this_thread::sleep_for(IDLE_PAUSE);
    }
    return true;
}

std::string CallPathFixture::post(const std::string& id, size_t bodyBytes, const std::string& extraHeaders)
{
    return "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n" + extraHeaders + "\r\n";
}

std::string CallPathFixture::get(const std::string& id)
{
    return "GET /again/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 5000\r\n\r\n";
}

std::string CallPathFixture::request(const std::string& id, const std::string& path, const std::string& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string CallPathFixture::answer(
    const std::string& id, const std::string& body, int status, const std::string& extraHeaders)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: " + id + "\r\nX-Server-Stamp: stamp\r\n"
        + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace pomelowind::tests
