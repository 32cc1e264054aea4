// Guards against running a request with an idempotency key twice, and against answering "not run" for a request that
// ran. Random schedules, by seed, of coordinators and claim holders: requests with one key are repeated through many
// nodes, while messages are lost and delayed and holders restart with empty memory.

#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Random.h"
#include "pomelowind/claims/ClaimTable.h"
#include "pomelowind/claims/ClaimVote.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using claims::ClaimDecision;

namespace {

constexpr int64_t START_MS = 1000000;

struct Attempt {
    std::string owner;
    claims::ClaimAnswers answers { 3 };
    bool ended { false };
    bool ran { false };
};

struct Delivery {
    size_t holder;
    size_t attempt;
    wire::ClaimRequest request;
};

class Schedule {
public:
    explicit Schedule(uint64_t seed)
        : m_random(seed)
        , m_nowMs(START_MS)
    {
        for (int i = 0; i < 3; ++i)
            m_holders.emplace_back(claims::ClaimTableOptions(), START_MS - 10000);
        m_key = base::makeUuidV7(m_nowMs);
    }

    void run()
    {
        for (int i = 0; i < 150; ++i)
            step();
    }

    int runs() const { return m_runs; }
    bool falseNotRun() const { return m_falseNotRun; }

private:
    void step()
    {
        m_nowMs += static_cast<int64_t>(m_random.uniformBelow(30));
        auto action = m_random.uniformBelow(100);
        if (action < 6)
            begin();
        else if (action < 92 && !m_network.empty())
            deliver(m_random.uniformBelow(m_network.size()));
        else if (action < 95 && !m_network.empty())
            m_network.erase(m_network.begin() + static_cast<long>(m_random.uniformBelow(m_network.size())));
        else if (action >= 95 && action < 97)
            m_holders[m_random.uniformBelow(3)] = claims::ClaimTable({}, m_nowMs);
    }

    wire::ClaimRequest request(wire::ClaimStep::type step, const Attempt& attempt) const
    {
        wire::ClaimRequest out;
        out.step = step;
        out.key = m_key;
        out.owner = attempt.owner;
        return out;
    }

    void sendAll(size_t attempt, wire::ClaimStep::type step)
    {
        for (size_t holder = 0; holder < 3; ++holder)
            m_network.push_back({ holder, attempt, request(step, m_attempts[attempt]) });
    }

    void begin()
    {
        Attempt attempt;
        attempt.owner = "o" + std::to_string(m_attempts.size());
        m_attempts.push_back(attempt);
        sendAll(m_attempts.size() - 1, wire::ClaimStep::TAKE);
    }

    void deliver(size_t i)
    {
        Delivery it = m_network[i];
        m_network.erase(m_network.begin() + static_cast<long>(i));
        auto answer = m_holders[it.holder].handle(it.request, m_nowMs);
        auto& attempt = m_attempts[it.attempt];
        bool answerLost = m_random.bernoulli(0.1);
        if (it.request.step != wire::ClaimStep::TAKE || attempt.ended || answerLost)
            return;
        attempt.answers[it.holder] = answer;
        bool timedOut = m_random.bernoulli(0.1);
        conclude(it.attempt, claims::decideClaim(attempt.answers, 2, timedOut));
    }

    void conclude(size_t index, ClaimDecision decision)
    {
        if (decision == ClaimDecision::Wait)
            return;
        auto& attempt = m_attempts[index];
        attempt.ended = true;
        if (decision == ClaimDecision::NotRun && m_runs > 0)
            m_falseNotRun = true;
        if (decision != ClaimDecision::Run)
            return sendAll(index, wire::ClaimStep::RELEASE);
        bool refusedByGate = m_random.bernoulli(0.2);
        if (refusedByGate)
            return sendAll(index, wire::ClaimStep::RELEASE);
        ++m_runs;
        if (m_random.bernoulli(0.7))
            sendAll(index, wire::ClaimStep::COMPLETE);
    }

    base::Random m_random;
    int64_t m_nowMs;
    std::string m_key;
    std::vector<claims::ClaimTable> m_holders;
    std::vector<Attempt> m_attempts;
    std::vector<Delivery> m_network;
    int m_runs { 0 };
    bool m_falseNotRun { false };
};

}

TEST(ClaimsRunAtMostOnce, RequestRunsAtMostOnceDespiteLossDelayAndHolderRestarts)
{
    int ran = 0;
    for (uint64_t seed = 1; seed <= 20000; ++seed) {
        Schedule schedule(seed);
        schedule.run();
        ASSERT_LE(schedule.runs(), 1) << "seed " << seed;
        ASSERT_FALSE(schedule.falseNotRun()) << "seed " << seed;
        ran += schedule.runs();
    }
    EXPECT_GT(ran, 5000) << "too few schedules run the request to prove anything";
}

TEST(ClaimsRunAtMostOnce, RestartedHolderDoesNotGrantKeysFromBeforeItsStart)
{
    claims::ClaimTable table({}, START_MS);
    wire::ClaimRequest request;
    request.step = wire::ClaimStep::TAKE;
    request.owner = "o";
    request.key = base::makeUuidV7(START_MS - 1);
    EXPECT_EQ(table.handle(request, START_MS + 5000).verdict, wire::ClaimVerdict::BLIND);
    request.key = base::makeUuidV7(START_MS + 2000);
    EXPECT_EQ(table.handle(request, START_MS + 5000).verdict, wire::ClaimVerdict::GRANTED);
}

TEST(ClaimsRunAtMostOnce, FullTableRefusesNewClaimsAndKeepsExistingOnes)
{
    claims::ClaimTableOptions options;
    options.memoryBytes = 1000;
    claims::ClaimTable table(options, START_MS - 60000);
    wire::ClaimRequest request;
    request.step = wire::ClaimStep::TAKE;
    request.owner = "o";
    std::string first = request.key = base::makeUuidV7(START_MS);
    EXPECT_EQ(table.handle(request, START_MS).verdict, wire::ClaimVerdict::GRANTED);
    auto verdict = wire::ClaimVerdict::GRANTED;
    for (int i = 0; i < 10 && verdict == wire::ClaimVerdict::GRANTED; ++i) {
        request.key = base::makeUuidV7(START_MS);
        verdict = table.handle(request, START_MS).verdict;
    }
    EXPECT_EQ(verdict, wire::ClaimVerdict::FULL);
    request.key = first;
    request.owner = "other";
    EXPECT_EQ(table.handle(request, START_MS).verdict, wire::ClaimVerdict::PENDING);
}

TEST(ClaimsRunAtMostOnce, HoldersAreDeterminedByTheEpochOfTheKey)
{
    wire::ClaimRing ring;
    for (int64_t i = 0; i < 2; ++i) {
        wire::ClaimEpoch epoch;
        epoch.epoch = i + 1;
        epoch.fromMs = i * START_MS;
        for (int n = 0; n < 6; ++n) {
            wire::ClaimHolder holder;
            holder.node = "n" + std::to_string(n + i * 10);
            holder.dataCentre = "dc" + std::to_string(n % 3);
            epoch.holders.push_back(holder);
        }
        ring.epochs.push_back(epoch);
    }
    std::string old = base::makeUuidV7(START_MS - 5);
    auto claimHolders = claims::findClaimHolders(ring, old, START_MS + 100, 0);
    EXPECT_EQ(claimHolders.epoch, 1) << "a key of the old epoch keeps its holders, whatever the promise of the leader";
    std::set<std::string> dataCentres;
    for (const auto& it : claimHolders.holders)
        dataCentres.insert(it.dataCentre);
    EXPECT_EQ(dataCentres.size(), 3u);
    std::string fresh = base::makeUuidV7(START_MS + 50);
    EXPECT_EQ(
        claims::findClaimHolders(ring, fresh, START_MS + 100, START_MS + 10).problem, claims::KeyProblem::NoEpoch);
    EXPECT_EQ(claims::findClaimHolders(ring, fresh, START_MS + 100, START_MS + 1000).epoch, 2);
}
