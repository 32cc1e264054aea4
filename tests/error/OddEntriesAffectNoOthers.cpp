// Guards against one odd entry, from another writer, among those of the targets, nodes, control hosts or updates:
// deeply nested, with a number too large, or with a port out of range. It names nothing to use, and the others hold.

#include "platform/InstanceHandler.h"
#include "pomelowind/base/Errors.h"
#include "pomelowind/config/ConfigSource.h"
#include "tests/support/GossipSim.h"
#include "tests/support/SingleControlHost.h"

#include "node/PeerCalls.h"
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace pomelowind;
using base::Millis;
using links::FrameKind;

namespace {

constexpr int64_t BORN = tests::GossipSim::START_MS - 60000;

const std::vector<std::string> ODD_ADDRESSES = { "", "nowhere", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536",
    "10.0.0.9:99999999999", "10.0.0.9:4294967376", "10.0.0.9:-1", "10.0.0.9:80x", "10.0.0.9: 80", "10.0.0.999:80",
    "host.example:80", "\xff\xfe:80", ":80", "10.0.0.9:0x50" };

std::string heartbeat(const std::string& address, const std::string& born, const std::string& sequence,
    const std::string& coldLeft, const std::string& slots, const std::string& state = "\"ready\"")
{
    return "{\"address\":\"" + address + "\",\"born\":" + born
        + R"(,"info":{"service":"desk","version":"v1","zone":"east","slots":)" + slots + R"(},"status":{"state":)"
        + state + ",\"sequence\":" + sequence + ",\"cold_left_ms\":" + coldLeft + "}}";
}

std::string own(int64_t sequence, const std::string& state = "\"ready\"")
{
    return heartbeat("10.0.0.9:8080", std::to_string(BORN), std::to_string(sequence), "0", "6", state);
}

// Heartbeats that no target sends. Numbers lie at and beyond the limits of 32, 53 and 64 bits.
std::vector<std::string> oddHeartbeats()
{
    std::vector<std::string> out;
    for (const auto& it : ODD_ADDRESSES)
        out.push_back(heartbeat(it, std::to_string(BORN), "9", "0", "6"));
    for (const char* number : { "9007199254740992", "9223372036854775807", "9223372036854775808",
             "18446744073709551615", "18446744073709551616", "1e308", "1e400", "-1", "-9223372036854775808", "1.5",
             "\"7\"", "null", "true", "[7]", "{}" }) {
        out.push_back(heartbeat("10.0.0.9:8080", number, "9", "0", "6"));
        out.push_back(heartbeat("10.0.0.9:8080", std::to_string(BORN), number, "0", "6"));
        out.push_back(heartbeat("10.0.0.9:8080", std::to_string(BORN), "9", number, "6"));
        out.push_back(heartbeat("10.0.0.9:8080", std::to_string(BORN), "9", "0", number));
    }
    std::string deep(100000, '[');
    out.push_back(deep);
    out.push_back(heartbeat("10.0.0.9:8080", std::to_string(BORN), "9", deep, "6"));
    out.push_back(heartbeat("10.0.0.9:8080", std::to_string(BORN), "9", deep + std::string(100000, ']'), "6"));
    for (const char* field :
        { "address", "zone", "service", "version", "slots", "state", "sequence", "cold_left_ms", "info", "status" }) {
        auto missing = own(900);
        missing.replace(missing.find("\"" + std::string(field)) + 1, 1, "x");
        out.push_back(missing);
    }
    out.push_back(heartbeat("10.0.0.9:8080", std::to_string(BORN), "900", "0", "6", "\"asleep\""));
    return out;
}

// Passes heartbeats to the node beside the targets, as its announce server does.
class SimRegistry final : public node::TargetRegistry {
public:
    explicit SimRegistry(tests::GossipSim& sim)
        : m_sim(sim)
    {
    }
    void announce(const node::Announcement& it) override { m_sim.node(0).announce(it, m_sim.now()); }
    void depart(const std::string& target, std::optional<int64_t> incarnation) override
    {
        m_sim.node(0).depart(target, incarnation, m_sim.now());
    }
    void whenRecorded(const std::string&, std::function<void(bool)> done) override { done(true); }

private:
    tests::GossipSim& m_sim;
};

class StatusReply final : public http::HttpReply {
public:
    void send(http::HttpResponse response) override { status = response.status; }
    void sendTruncated(http::HttpResponse, size_t) override { }
    void onCancel(std::function<void()>) override { }
    int status { 0 };
};

int send(http::HttpHandler& handler, const std::string& path, const std::string& body)
{
    auto reply = std::make_shared<StatusReply>();
    EXPECT_NO_THROW(handler.handle({ "POST", path, {}, body, nullptr }, reply)) << body.substr(0, 300);
    return reply->status;
}

wire::Presence presence(const std::string& name, const std::string& address)
{
    wire::Presence out;
    out.target = name;
    out.serviceName = "desk";
    out.version = "v1";
    out.dataCentre = "east";
    out.node = "node-" + name;
    out.callAddress = address;
    out.incarnation = out.targetIncarnation = BORN;
    out.state = wire::TargetState::SERVING;
    out.slots = 4;
    return out;
}

wire::NodeInfo nodeInfo(const std::string& name, const std::string& address)
{
    wire::NodeInfo out;
    out.node = "node-" + name;
    out.dataCentre = "east";
    out.meshAddress = out.callAddress = address;
    out.incarnation = BORN;
    return out;
}

class NoRequests final : public node::PeerRequestHandler {
public:
    void onCall(const void*, wire::CallRequest, std::function<void()>, node::CallCallback) override { }
    void onBody(const void*, int64_t, std::string_view) override { }
    void onCancel(const void*, int64_t) override { }
    void onOriginClosed(const void*) override { }
    wire::ClaimAnswer onClaim(const wire::ClaimRequest&) override { return {}; }
};

}

TEST(OddEntriesAffectNoOthers, HeartbeatsBesideThoseOfTheTarget)
{
    for (const auto& odd : oddHeartbeats()) {
        SCOPED_TRACE(odd.substr(0, 300));
        tests::GossipSim sim(2);
        SimRegistry registry(sim);
        auto handler = platform::makeInstanceHandler(registry);
        sim.advance(Millis(500));
        const std::string path = "/v1/Instances.Heartbeat/i-1";
        EXPECT_EQ(send(*handler, path, odd), 400) << "before the target's own";
        EXPECT_EQ(send(*handler, path, own(3)), 200);
        EXPECT_EQ(send(*handler, path, odd), 400);
        sim.advance(Millis(500));
        EXPECT_TRUE(sim.isAdmitted("i-1", BORN) && sim.isUsed(1, "i-1", BORN));
        EXPECT_EQ(send(*handler, path, own(4, "\"draining\"")), 200);
        sim.advance(Millis(500));
        EXPECT_FALSE(sim.isAdmitted("i-1", BORN) || sim.isUsed(1, "i-1", BORN));
    }
}

TEST(OddEntriesAffectNoOthers, DrainingCountsEvenIfAnotherWriterCountedHigher)
{
    tests::GossipSim sim(2);
    SimRegistry registry(sim);
    auto handler = platform::makeInstanceHandler(registry);
    sim.advance(Millis(500));
    EXPECT_EQ(send(*handler, "/v1/Instances.Heartbeat/i-1", own(3)), 200);
    EXPECT_EQ(send(*handler, "/v1/Instances.Heartbeat/i-1", own(9007199254740991)), 200);
    EXPECT_EQ(send(*handler, "/v1/Instances.Heartbeat/i-1", own(4, "\"draining\"")), 200);
    sim.advance(Millis(500));
    EXPECT_FALSE(sim.isAdmitted("i-1", BORN) || sim.isUsed(1, "i-1", BORN)) << "the acknowledgement binds";
}

TEST(OddEntriesAffectNoOthers, DirectoryOfANode)
{
    tests::GossipSim sim(2);
    sim.advance(Millis(500));
    wire::Spread spread;
    for (size_t i = 0; i < ODD_ADDRESSES.size(); ++i) {
        spread.nodes.push_back(nodeInfo("odd-" + std::to_string(i), ODD_ADDRESSES[i]));
        spread.targets.push_back(presence("odd-" + std::to_string(i), ODD_ADDRESSES[i]));
    }
    spread.nodes.push_back(nodeInfo("good", "10.0.4.1:7000"));
    spread.targets.push_back(presence("good", "10.0.4.1:7001"));
    wire::SubscribeAnswer answer;
    answer.admitted = true;
    answer.controlHosts = ODD_ADDRESSES;
    answer.controlHosts.push_back("10.0.4.2:7000");
    auto& core = sim.node(1);
    EXPECT_NO_THROW(core.parentFrame(FrameKind::SUBSCRIBE_ANSWER, base::encode(answer), sim.now()));
    EXPECT_NO_THROW(core.parentFrame(FrameKind::SPREAD, base::encode(spread), sim.now()));
    for (int i = 0; i < 100; ++i)
        EXPECT_NO_THROW(sim.advance(Millis(250)));
    EXPECT_TRUE(sim.isUsed(1, "good", BORN));
}

TEST(OddEntriesAffectNoOthers, CallsToThemEndAndTheOthersGoOn)
{
    boost::asio::io_context io;
    base::SystemClock clock;
    NoRequests handler;
    node::NodeSettings settings;
    settings.id = "n";
    settings.meshKey = "0123456789abcdef";
    settings.callAddress
        = { "127.78." + std::to_string(getpid() / 250 % 250) + "." + std::to_string(getpid() % 250 + 1), 8002 };
    node::PeerCalls calls(io, settings, clock, handler);
    for (const auto& address : ODD_ADDRESSES) {
        SCOPED_TRACE(address);
        std::optional<wire::CallAnswer> answer;
        bool claimEnded = false;
        EXPECT_NO_THROW(calls.call(address, {}, std::make_shared<const std::string>("body"), Millis(100), true,
            clock.now(), [&](wire::CallAnswer it) { answer = std::move(it); }));
        EXPECT_NO_THROW(calls.claim(address, {}, Millis(100), clock.now(),
            [&](const std::optional<wire::ClaimAnswer>&) { claimEnded = true; }));
        for (int i = 0; i < 3; ++i) {
            io.poll();
            EXPECT_NO_THROW(calls.sweep(clock.now()));
        }
        ASSERT_TRUE(answer.has_value());
        EXPECT_EQ(answer->outcome, wire::Outcome::NOT_RUN);
        EXPECT_TRUE(claimEnded);
        EXPECT_TRUE(calls.unreachable().count(address));
    }
    calls.close();
    io.poll();
}

TEST(OddEntriesAffectNoOthers, DirectoryOfAControlHost)
{
    tests::SingleControlHost host;
    wire::MemberReport report;
    report.members = ODD_ADDRESSES;
    for (size_t i = 0; i < ODD_ADDRESSES.size(); ++i) {
        report.report.nodes.push_back(nodeInfo("odd-" + std::to_string(i), ODD_ADDRESSES[i]));
        report.report.targets.push_back(presence("odd-" + std::to_string(i), ODD_ADDRESSES[i]));
    }
    report.report.targets.push_back(presence("good", "10.0.4.1:7001"));
    EXPECT_NO_THROW(host.core->handleMemberFrame("c2", FrameKind::MEMBER_REPORT, base::encode(report), host.now, 1));
    for (int i = 0; i < 200; ++i)
        EXPECT_NO_THROW(host.advance(Millis(100)));
    EXPECT_TRUE(host.core->replica().isLeader());
    EXPECT_NE(host.core->directory().findTarget("good"), nullptr);
}

TEST(OddEntriesAffectNoOthers, ListOfAnExternalSource)
{
    const std::string good = R"({"sequence":5,"name":"a","template":"t","parameters":{"k":"v"}})";
    for (const std::string odd :
        { "7", "null", "[]", "{}", R"({"sequence":9223372036854775807,"name":"b","body":"x"})",
            R"({"sequence":18446744073709551615,"name":"b","body":"x"})", R"({"sequence":1e300,"name":"b","body":"x"})",
            R"({"sequence":-1,"name":"b","body":"x"})", R"({"sequence":6,"name":7,"body":"x"})",
            R"({"sequence":6,"name":"b","template":"t","parameters":{"k":7}})" }) {
        auto updates = config::parseSourceUpdates("[" + odd + "," + good + "]");
        ASSERT_TRUE(updates.has_value()) << odd;
        ASSERT_EQ(updates->size(), 1u) << odd;
        EXPECT_EQ(updates->front().sequence, 5);
    }
    EXPECT_FALSE(config::parseSourceUpdates(std::string(1000000, '[')));
}
