// Guards against calls that a stopping node takes, sends on and cuts without an answer when its process ends.

#include "tests/support/CallPathFixture.h"
#include "tests/support/ManualClock.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using tests::CallPathFixture;
using tests::RawConnectionPtr;

namespace {

constexpr auto STOP_TIMEOUT = Millis(5200);
// What may pass between a deadline and the answer to the caller.
constexpr auto MARGIN = Millis(300);

class StoppingNodeAcceptsOnlyWhatItCanAnswer : public testing::TestWithParam<bool> {
protected:
    // Node 0 has the caller, who keeps its connections.
    void start(std::vector<int> targetsAt, size_t calls)
    {
        callers.clear();
        fixture.reset();
        CallPathFixture::Options options;
        options.targetsAt = std::move(targetsAt);
        options.usesProductProtocol = GetParam();
        options.stopTimeout = STOP_TIMEOUT;
        options.clock = &clock;
        fixture = std::make_unique<CallPathFixture>(options);
        for (size_t i = 0; i < calls; ++i)
            callers.push_back(fixture->connect(0));
        // Opens the link between the nodes.
        callers.push_back(fixture->connect(0));
        send(callers.back(), "first", Millis(5000));
        EXPECT_TRUE(arrives("first"));
    }

    static void send(const RawConnectionPtr& caller, const std::string& id, Millis deadline)
    {
        auto ms = std::to_string(deadline.count());
        caller->write("POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + ms
            + "\r\nX-Pomelowind-Deadline-Ms: " + ms + "\r\nContent-Length: 2\r\n\r\nhi");
    }

    // Returns the target's connection that has the request, or null.
    RawConnectionPtr connectionWith(const std::string& id)
    {
        for (int node : { 0, 1 }) {
            for (const auto& it : fixture->targetConnections(node)) {
                if (it->has("X-Request-Id: " + id + "\r\n"))
                    return it;
            }
        }
        return nullptr;
    }

    bool arrives(const std::string& id)
    {
        return fixture->runUntil([&] { return connectionWith(id) != nullptr; });
    }

    // Sends calls of all kinds at all stages of a stop, and checks which ones are taken.
    void expectOnlyAnswerableCalls(const std::vector<int>& targetsAt, int stoppingNode)
    {
        const std::vector<Millis> stages { Millis(0), Millis(1000), Millis(2400), Millis(4000), Millis(5000) };
        const std::vector<Millis> deadlines { Millis(100), Millis(1000), Millis(2500), Millis(5000), Millis(60000) };
        constexpr auto ROUTE_TIMEOUT = Millis(5000);
        start(targetsAt, stages.size() * deadlines.size());
        auto stopBegan = clock.now();
        fixture->path(stoppingNode).drain([] {});
        size_t n = 0;
        for (auto stage : stages) {
            clock.advance(stage - std::chrono::duration_cast<Millis>(clock.now() - stopBegan));
            for (auto deadline : deadlines) {
                SCOPED_TRACE(std::to_string(stage.count()) + " ms after the signal, deadline "
                    + std::to_string(deadline.count()));
                auto caller = callers.at(n);
                auto id = "c" + std::to_string(n++);
                send(caller, id, deadline);
                auto left = STOP_TIMEOUT - stage - std::min(deadline, ROUTE_TIMEOUT);
                ASSERT_TRUE(fixture->runUntil([&] { return caller->has("\r\n\r\n") || connectionWith(id); }));
                auto target = connectionWith(id);
                if (left < Millis(0)) {
                    EXPECT_FALSE(target) << "sent to a target";
                    EXPECT_TRUE(caller->has("HTTP/1.1 503")) << caller->received;
                    EXPECT_TRUE(caller->has("Retry-After: "));
                }
                if (left >= MARGIN)
                    EXPECT_TRUE(target) << caller->received;
                if (!target)
                    continue;
                target->write(CallPathFixture::answer(id, "done"));
                EXPECT_TRUE(fixture->runUntil([&] { return caller->has("done"); }));
            }
        }
    }

    tests::ManualClock clock;
    std::unique_ptr<CallPathFixture> fixture;
    std::vector<RawConnectionPtr> callers;
};

INSTANTIATE_TEST_SUITE_P(BothProtocols, StoppingNodeAcceptsOnlyWhatItCanAnswer, testing::Bool(),
    [](const auto& it) { return it.param ? "product" : "platform"; });

}

TEST_P(StoppingNodeAcceptsOnlyWhatItCanAnswer, CallsOfItsCallersToItsOwnTarget) { expectOnlyAnswerableCalls({ 0 }, 0); }

TEST_P(StoppingNodeAcceptsOnlyWhatItCanAnswer, CallsOfItsCallersToATargetElsewhere)
{
    expectOnlyAnswerableCalls({ 1 }, 0);
}

TEST_P(StoppingNodeAcceptsOnlyWhatItCanAnswer, CallsOfOtherNodesToItsTarget) { expectOnlyAnswerableCalls({ 1 }, 1); }

TEST_P(StoppingNodeAcceptsOnlyWhatItCanAnswer, CallOfItsTargetForAnAcceptedCallIsTaken)
{
    start({ 0, 1 }, 10);
    // A call that runs at the target beside the stopping node, which makes a call of its own for it.
    std::string parent;
    for (size_t i = 0; parent.empty() && i < 8; ++i) {
        auto id = "p" + std::to_string(i);
        send(callers.at(i), id, Millis(5000));
        ASSERT_TRUE(arrives(id));
        for (const auto& it : fixture->targetConnections(0))
            parent = it->has(id + "\r\n") ? id : parent;
    }
    ASSERT_FALSE(parent.empty());
    fixture->path(0).drain([] {});
    clock.advance(Millis(1000));
    callers.at(9)->write("POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + parent
        + ".1\r\nX-Deadline-Ms: 5000\r\nX-Pomelowind-Depth: 1\r\nContent-Length: 2\r\n\r\nhi");
    EXPECT_TRUE(fixture->runUntil([&] { return connectionWith(parent + ".1") || callers.at(9)->has("HTTP/1.1"); }));
    EXPECT_TRUE(connectionWith(parent + ".1")) << callers.at(9)->received;
}
