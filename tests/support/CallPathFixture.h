// Test fixture that runs the call paths of several nodes in one thread over loopback. The test itself writes and reads
// the bytes of callers and targets.
#pragma once

#include "node/CallPath.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelowind::tests {

// One end of a TCP connection. Reads and stores all received bytes unless paused.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
public:
    explicit RawConnection(boost::asio::ip::tcp::socket socket)
        : socket(std::move(socket))
    {
    }
    void start() { read(); }
    // Stops reading until resume(), so that the TCP window fills.
    void pause() { m_paused = true; }
    void resume();
    void write(const std::string& bytes);
    // Writes `piece` repeatedly until the peer closes the connection.
    void writeRepeatedly(const std::string& piece);
    void close();
    bool has(const std::string& text) const { return received.find(text) != std::string::npos; }

    boost::asio::ip::tcp::socket socket;
    std::string received;
    size_t writtenBytes { 0 };
    bool closed { false };

private:
    void read();

    std::array<char, 16384> m_input {};
    bool m_paused { false };
    bool m_reading { false };
};

using RawConnectionPtr = std::shared_ptr<RawConnection>;

// Runs the nodes "node-0", "node-1", ... with the routes "once" (not idempotent, large bodies), "again" (idempotent)
// and "open" (idempotent, without a key) to service "s".
class CallPathFixture {
public:
    struct Options {
        int nodes { 2 };
        int slots { 4 };
        int64_t bodyMemoryBytes { 8 * 1024 * 1024 };
        std::vector<int> targetsAt { 1 }; // nodes with a target of service "s"
        std::vector<std::string> dataCentres { "east", "east", "east", "east" };
        const base::Clock* clock { nullptr }; // must outlive the fixture; null: the host's clock
        bool usesProductProtocol { false }; // of callers and targets; false: the platform's
        int maxAttempts { 2 }; // of both routes
        base::Millis stopTimeout { 60000 }; // see NodeSettings
        double coldCallsPerSecond { 0 }; // of service "s"; 0: no limit
        bool gatesKnowColdRate { true }; // false: as if their nodes had no configuration yet
        base::Millis coldLeft { 0 }; // as the targets announce it
        std::vector<std::string> services; // of the callers of each node; "s" where missing
        std::vector<wire::ClientAccount> accounts; // of the configuration
        std::optional<base::Instant> keysHonouredUntil; // see node::MeshView
    };
    explicit CallPathFixture(Options options);
    ~CallPathFixture();

    // Address for calls from other nodes.
    const base::Address& callAddress(int i) const { return m_nodes.at(static_cast<size_t>(i))->settings.callAddress; }
    node::CallPath& path(int i) { return *m_nodes.at(static_cast<size_t>(i))->path; }
    // Ends node `i` at once and starts it again without what it knew; its target goes on and announces itself.
    void restart(int i);
    // Stops node `i` from running, or lets it go on. Its connections stay open, and what arrives waits.
    void setFrozen(int i, bool frozen) { m_nodes.at(static_cast<size_t>(i))->frozen = frozen; }
    // Ends the target of node `i` as a crash does: its connections break, and new ones are refused.
    void crashTarget(int i);
    // Lets all targets announce themselves with this remaining cold time.
    void announce(base::Millis coldLeft);
    // Starts the next incarnation of the target of node `i`, which announces itself at once or with the next
    // announce().
    void startTarget(int i, bool announcesItself = true);
    // Replaces the client accounts of the configuration.
    void setAccounts(std::vector<wire::ClientAccount> accounts);
    // Renews the lease of all nodes.
    void setKeysHonouredUntil(base::Instant until);
    // Puts the evacuation of these data centres in force, and of no others, at the given nodes.
    void setEvacuated(const std::set<std::string>& dataCentres, const std::vector<int>& nodes);
    // Runs the event loops until nothing is left to do at this instant, and sweeps all nodes.
    void step();
    // Opens a caller's connection to node `i`.
    RawConnectionPtr connect(int i);
    // Returns the connections that node `i` has opened to its target, in order.
    std::vector<RawConnectionPtr>& targetConnections(int i) { return m_nodes.at(static_cast<size_t>(i))->accepted; }
    // Runs the event loop until `condition` holds; returns false when it does not within 20 s.
    bool runUntil(const std::function<bool()>& condition);
    // Returns the header of a POST request to the non-idempotent route, with the given Content-Length.
    static std::string post(const std::string& id, size_t bodyBytes, const std::string& extraHeaders = "");
    // Returns a GET request to the idempotent route.
    static std::string get(const std::string& id);
    // Returns a request to `path` with the given body.
    static std::string request(const std::string& id, const std::string& path, const std::string& body);
    // Returns a complete response of a target to the request `id`.
    static std::string answer(
        const std::string& id, const std::string& body, int status = 200, const std::string& extraHeaders = "");

private:
    struct Node {
        boost::asio::io_context io; // of the node alone, so that it can be frozen
        bool frozen { false };
        node::NodeSettings settings;
        std::unique_ptr<node::CallPath> path;
        std::unique_ptr<boost::asio::ip::tcp::acceptor> targetPort;
        std::vector<RawConnectionPtr> accepted;
        int64_t targetIncarnation { 1 };
        config::ConfigState evacuations;
    };

    std::string ip(int i) const;
    void addNode(int i);
    void startPath(Node& node);
    // Runs at most one handler in each event loop, and returns how many ran.
    size_t pollOne();
    void accept(Node& node);
    void publish();

    Options m_options;
    boost::asio::io_context m_io;
    base::SystemClock m_systemClock;
    const base::Clock& m_clock;
    std::unique_ptr<node::CallProtocol> m_protocol;
    nodes::Directory m_directory; // shared at once, as by a connected mesh
    bool m_crashesChanged { false };
    int64_t m_presenceSequence { 0 };
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<node::CallPath>> m_endedPaths; // handlers of closed sockets may still refer to them
};

} // namespace pomelowind::tests
