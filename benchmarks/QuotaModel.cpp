#include "benchmarks/QuotaModel.h"

#include "control/QuotaController.h"
#include "pomelowind/base/Packing.h"
#include "pomelowind/callers/UsageBatch.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>

namespace pomelowind::bench {

using base::Instant;
using base::Millis;
using base::TokenBucket;

namespace {

    constexpr int STEP_MS = 10;
    constexpr int WARM_UP_MS = 8000;
    constexpr int HOT_UNTIL_MS = 32000;
    constexpr int EVENT_MS = 15000;
    constexpr int HEAL_MS = 25000;
    constexpr int END_MS = 45000;
    constexpr int LOWERED_MS = 18000;
    constexpr int CONFIG_APPLY_MS = 2000;
    constexpr int HOSTS = 4;
    constexpr auto LINK_DELAY = Millis(100);
    constexpr double USUAL_PART = 1 / 1.6; // of the limit
    constexpr double HOT_FACTOR = 7.5;
    constexpr int FRAME_BYTES = 5;

    struct ModelAccount {
        wire::ClientAccount limit;
        std::vector<double> admittedAt;
        double nextCall { 0 };
        bool isOn { true };
        double nextSwitch { 0 };
        std::vector<int> nodes; // of its callers; empty: all
        double nextMove { 0 };
        std::unique_ptr<TokenBucket> perfect;
        double perfectRefusedAt { -1e9 };
    };

    // Enforces the limits; the model asks it for each call.
    class Scheme {
    public:
        virtual ~Scheme() = default;
        virtual bool admit(int node, int account, Instant now) = 0;
        virtual bool isUp(int) const { return true; } // a node that starts takes no calls
        virtual void tick(int, Instant) { }
        virtual void setLimit(int, Instant) { }
        virtual double bytes() const { return 0; } // sent and received by all nodes until now
    };

    class PerfectScheme final : public Scheme {
    public:
        PerfectScheme(const std::vector<ModelAccount>& accounts, Instant now)
            : m_accounts(accounts)
        {
            for (const auto& it : accounts)
                m_buckets.emplace_back(it.limit.ratePerSecond, it.limit.burst, now);
        }
        bool admit(int, int account, Instant now) override
        {
            return m_buckets[static_cast<size_t>(account)].tryTake(now);
        }

        void setLimit(int account, Instant now) override
        {
            auto i = static_cast<size_t>(account);
            m_buckets[i].setRate(m_accounts[i].limit.ratePerSecond, now);
            m_buckets[i].setBurst(m_accounts[i].limit.burst);
        }

    private:
        const std::vector<ModelAccount>& m_accounts;
        std::vector<TokenBucket> m_buckets;
    };

    // Buckets at each node, whose rates are a part of the limits.
    class ShareScheme final : public Scheme {
    public:
        ShareScheme(const std::vector<ModelAccount>& accounts, int nodes, double part, bool byDemand, Instant now)
            : m_accounts(accounts)
            , m_nodes(nodes)
            , m_part(part)
            , m_byDemand(byDemand)
            , m_demand(accounts.size() * static_cast<size_t>(nodes))
        {
            for (const auto& it : accounts) {
                for (int node = 0; node < nodes; ++node)
                    m_buckets.emplace_back(it.limit.ratePerSecond * part, std::max(1.0, it.limit.burst * part), now);
            }
        }
        bool admit(int node, int account, Instant now) override
        {
            auto i = static_cast<size_t>(account) * static_cast<size_t>(m_nodes) + static_cast<size_t>(node);
            m_demand[i] += 1;
            return m_buckets[i].tryTake(now);
        }
        // All nodes learn it at once, also those that are partitioned.
        void setLimit(int account, Instant now) override
        {
            const auto& limit = m_accounts[static_cast<size_t>(account)].limit;
            for (int node = 0; node < m_nodes; ++node) {
                auto& bucket = m_buckets[static_cast<size_t>(account) * static_cast<size_t>(m_nodes)
                    + static_cast<size_t>(node)];
                bucket.setRate(limit.ratePerSecond * m_part, now);
                bucket.setBurst(std::max(1.0, limit.burst * m_part));
            }
        }
        void tick(int ms, Instant now) override
        {
            if (!m_byDemand || ms % 1000)
                return;
            for (size_t account = 0; account < m_accounts.size(); ++account) {
                auto first = m_demand.begin() + static_cast<std::ptrdiff_t>(account) * m_nodes;
                auto last = first + m_nodes;
                double total = 0;
                for (auto it = first; it != last; ++it)
                    total += *it + 0.2;
                for (auto it = first; it != last; ++it) {
                    double part = (*it + 0.2) / total;
                    auto& bucket = m_buckets[static_cast<size_t>(it - m_demand.begin())];
                    bucket.setRate(m_accounts[account].limit.ratePerSecond * part, now);
                    bucket.setBurst(std::max(1.0, m_accounts[account].limit.burst * part));
                    *it *= 0.5;
                }
            }
        }

    private:
        const std::vector<ModelAccount>& m_accounts;
        int m_nodes;
        double m_part;
        bool m_byDemand;
        std::vector<double> m_demand;
        std::vector<TokenBucket> m_buckets;
    };

    class RatioScheme final : public Scheme {
    public:
        RatioScheme(const QuotaRun& run, const std::vector<ModelAccount>& accounts, base::Random& random, Instant now)
            : m_run(run)
            , m_accounts(accounts)
            , m_controller(m_bounds)
        {
            for (int i = 0; i < run.nodes; ++i) {
                Node node;
                node.quota = std::make_unique<callers::AccountQuota>(m_bounds);
                node.host = i % HOSTS;
                node.reportPhase = static_cast<int>(random.uniformBelow(100)) / STEP_MS * STEP_MS;
                node.ackPhase = static_cast<int>(random.uniformBelow(2000)) / STEP_MS * STEP_MS;
                node.lastAck = node.heardAt = now;
                node.quota->setContact(now, static_cast<size_t>(run.nodes), static_cast<size_t>(i));
                m_nodes.push_back(std::move(node));
            }
            publishLimits();
            m_controller.start({}, now - std::chrono::seconds(60));
        }

        bool admit(int node, int account, Instant now) override
        {
            auto& it = m_nodes[static_cast<size_t>(node)];
            const auto& limit = it.limits[static_cast<size_t>(account)];
            return it.quota->admit(limit, now).admitted();
        }

        bool isUp(int node) const override { return m_ms >= m_nodes[static_cast<size_t>(node)].startsAt; }
        void setLimit(int, Instant) override { m_limitChangedAt = m_ms; }

        void tick(int ms, Instant now) override
        {
            m_ms = ms;
            applyEvent(ms, now);
            deliver(now);
            report(ms, now);
            lead(ms, now);
        }

        double bytes() const override { return m_bytes; }

    private:
        struct Node {
            std::unique_ptr<callers::AccountQuota> quota;
            std::vector<wire::ClientAccount> limits;
            int host { 0 };
            int reportPhase { 0 };
            int ackPhase { 0 };
            int startsAt { 0 };
            Instant heardAt;
            Instant lastAck; // as the leader knows
            int64_t learnsLimitAt { -1 };
        };
        struct UsageMessage {
            Instant at;
            int host; // to this host; -1: to the leader
            std::vector<callers::AccountUse> usage;
        };
        struct RatioMessage {
            Instant at;
            std::vector<wire::AccountRatio> ratios;
            bool isBeacon { false };
        };

        bool isPartitioned(int ms) const
        {
            bool has = m_run.event == QuotaEvent::Partition || m_run.event == QuotaEvent::LoweredLimit;
            return has && ms >= EVENT_MS && ms < HEAL_MS;
        }
        bool isLeaderless(int ms) const
        {
            return m_run.event == QuotaEvent::LeaderKilled && ms >= EVENT_MS && ms < EVENT_MS + 1200;
        }
        bool reachesLeader(const Node& node, int ms) const { return !(isPartitioned(ms) && node.host == HOSTS - 1); }

        void publishLimits()
        {
            std::vector<wire::ClientAccount> limits;
            for (const auto& it : m_accounts)
                limits.push_back(it.limit);
            m_controller.setLimits(limits);
            for (auto& it : m_nodes)
                it.limits = limits;
        }

        void applyEvent(int ms, Instant now)
        {
            if (m_run.event == QuotaEvent::LeaderKilled && ms == EVENT_MS + 1200) {
                m_controller = control::QuotaController(m_bounds);
                std::vector<wire::ClientAccount> limits;
                for (const auto& it : m_accounts)
                    limits.push_back(it.limit);
                m_controller.setLimits(limits);
                m_controller.start(m_lastRatios, now);
            }
            if (m_run.event == QuotaEvent::Restart && ms == EVENT_MS) {
                for (size_t i = 0; i < m_nodes.size(); i += 2) {
                    m_nodes[i].quota = std::make_unique<callers::AccountQuota>(m_bounds);
                    m_nodes[i].heardAt = Instant();
                    m_nodes[i].quota->setContact(Instant(), m_nodes.size(), i);
                    m_nodes[i].startsAt = ms + 1000;
                }
            }
            if (m_limitChangedAt >= 0) {
                std::vector<wire::ClientAccount> limits;
                for (const auto& it : m_accounts)
                    limits.push_back(it.limit);
                if (ms == m_limitChangedAt + 500)
                    m_controller.setLimits(limits);
                for (auto& it : m_nodes) {
                    bool isTold = reachesLeader(it, LOWERED_MS) ? ms == m_limitChangedAt + 500 : ms == HEAL_MS + 1000;
                    if (isTold)
                        it.limits = limits;
                }
            }
        }

        void deliver(Instant now)
        {
            while (!m_usage.empty() && m_usage.front().at <= now) {
                auto message = std::move(m_usage.front());
                m_usage.pop_front();
                if (message.host >= 0)
                    m_batches[message.host].add(message.usage);
                else if (!isLeaderless(m_ms))
                    m_controller.addUsage(message.usage, now);
            }
            while (!m_ratios.empty() && m_ratios.front().at <= now) {
                auto message = std::move(m_ratios.front());
                m_ratios.pop_front();
                m_lastRatios = message.ratios;
                wire::Spread spread;
                spread.__set_accountRatios(message.ratios);
                if (message.ratios.empty() && message.isBeacon)
                    spread.__isset.accountRatios = false;
                auto size = static_cast<double>(base::encode(spread).size() - base::encode(wire::Spread()).size())
                    + (message.isBeacon ? 0 : FRAME_BYTES);
                for (auto& it : m_nodes) {
                    if (!reachesLeader(it, m_ms) || m_ms < it.startsAt)
                        continue;
                    m_bytes += size;
                    it.quota->replaceRatios(message.ratios);
                    if (message.isBeacon)
                        it.heardAt = now;
                    it.quota->setContact(it.heardAt, m_nodes.size(), static_cast<size_t>(&it - m_nodes.data()));
                }
            }
        }

        void report(int ms, Instant now)
        {
            for (auto& it : m_nodes) {
                if (ms % 2000 == it.ackPhase && reachesLeader(it, ms) && ms >= it.startsAt)
                    it.lastAck = now;
                if (ms % 100 != it.reportPhase)
                    continue;
                auto usage = it.quota->takeUsage(now);
                if (usage.empty() || ms < it.startsAt || !reachesLeader(it, ms))
                    continue;
                m_bytes += static_cast<double>(base::encode(callers::packUsage(usage)).size()) + FRAME_BYTES;
                m_usage.push_back({ now + LINK_DELAY, it.host, std::move(usage) });
            }
            if (ms % 50)
                return;
            for (auto& batch : m_batches) {
                if (!batch.empty() && !isLeaderless(ms))
                    m_usage.push_back({ now + LINK_DELAY, -1, batch.take() });
            }
        }

        void lead(int ms, Instant now)
        {
            if (isLeaderless(ms) || ms % 20)
                return;
            size_t inContact = 0;
            for (const auto& it : m_nodes)
                inContact += now - it.lastAck <= std::chrono::seconds(5);
            m_controller.setNodes(inContact, m_nodes.size());
            bool changed = m_controller.update(now);
            bool isBeacon = ms % 500 == 0;
            if (!isBeacon && (!changed || now - m_publishedAt < Millis(100))) {
                m_isDue = m_isDue || changed;
                if (!m_isDue || now - m_publishedAt < Millis(100))
                    return;
            }
            m_isDue = false;
            m_publishedAt = now;
            m_ratios.push_back({ now + 2 * LINK_DELAY, m_controller.ratios(), isBeacon });
        }

        QuotaRun m_run;
        const std::vector<ModelAccount>& m_accounts;
        callers::QuotaBounds m_bounds;
        std::vector<Node> m_nodes;
        callers::UsageBatch m_batches[HOSTS];
        control::QuotaController m_controller;
        std::deque<UsageMessage> m_usage;
        std::deque<RatioMessage> m_ratios;
        std::vector<wire::AccountRatio> m_lastRatios;
        Instant m_publishedAt;
        bool m_isDue { false };
        int m_ms { 0 };
        int m_limitChangedAt { -1 };
        double m_bytes { 0 };
    };

    class Model {
    public:
        explicit Model(const QuotaRun& run)
            : m_run(run)
            , m_random(run.seed)
            , m_start(Instant() + std::chrono::hours(1))
        {
            for (int i = 0; i < run.accounts; ++i) {
                ModelAccount account;
                account.limit.name = "account-" + std::to_string(i);
                // From 5 to 400 calls per second, most of them small, with about 1,500 calls per second in total.
                double u = static_cast<double>(i) / std::max(1, run.accounts - 1);
                account.limit.ratePerSecond = std::round(5 * std::pow(80, std::pow(u, 3)));
                account.limit.burst = account.limit.ratePerSecond;
                m_accounts.push_back(std::move(account));
            }
            m_hot = static_cast<int>(m_random.uniformBelow(m_accounts.size()));
            if (m_random.bernoulli(0.3))
                m_hot = run.accounts - 1;
            if (run.hotLimit > 0)
                m_accounts[static_cast<size_t>(m_hot)].limit.ratePerSecond
                    = m_accounts[static_cast<size_t>(m_hot)].limit.burst = run.hotLimit;
            for (auto& it : m_accounts)
                it.perfect = std::make_unique<TokenBucket>(it.limit.ratePerSecond, it.limit.burst, m_start);
            m_oldLimit = m_accounts[static_cast<size_t>(m_hot)].limit;
            makeScheme();
        }

        QuotaResult run()
        {
            for (int ms = 0; ms < END_MS; ms += STEP_MS) {
                auto now = m_start + Millis(ms);
                if (m_run.event == QuotaEvent::LoweredLimit && ms == LOWERED_MS) {
                    auto& hot = m_accounts[static_cast<size_t>(m_hot)];
                    hot.limit.ratePerSecond /= 2;
                    hot.limit.burst /= 2;
                    hot.perfect->setRate(hot.limit.ratePerSecond, now);
                    hot.perfect->setBurst(hot.limit.burst);
                    m_scheme->setLimit(m_hot, now);
                }
                m_scheme->tick(ms, now);
                if (ms == WARM_UP_MS)
                    m_result.usualBytesPerNodeSecond = m_scheme->bytes() / m_run.nodes / (WARM_UP_MS / 1000.0);
                for (int i = 0; i < m_run.accounts; ++i)
                    makeCalls(i, ms);
            }
            measure();
            m_result.bytesPerNodeSecond = m_scheme->bytes() / m_run.nodes / (END_MS / 1000.0);
            return m_result;
        }

    private:
        void makeScheme()
        {
            switch (m_run.scheme) {
            case QuotaScheme::Ratios:
                m_scheme = std::make_unique<RatioScheme>(m_run, m_accounts, m_random, m_start);
                break;
            case QuotaScheme::PerfectCounter:
                m_scheme = std::make_unique<PerfectScheme>(m_accounts, m_start);
                break;
            default:
                m_scheme = std::make_unique<ShareScheme>(m_accounts, m_run.nodes,
                    m_run.scheme == QuotaScheme::NodeLimits ? 1 : 1.0 / m_run.nodes,
                    m_run.scheme == QuotaScheme::DemandShares, m_start);
            }
        }

        double exponential(double rate) { return -std::log(1 - m_random.uniformReal()) / rate; }

        double rateOf(int i, int ms)
        {
            auto& account = m_accounts[static_cast<size_t>(i)];
            double limit = i == m_hot ? m_oldLimit.ratePerSecond : account.limit.ratePerSecond;
            double usual = limit * USUAL_PART;
            if (m_run.event == QuotaEvent::NearLimit && i % 5 == 0)
                usual = limit * 0.9;
            bool isHot = i == m_hot && ms >= WARM_UP_MS && ms < HOT_UNTIL_MS;
            if (!isHot)
                return usual;
            if (m_run.event != QuotaEvent::Bursts)
                return usual / USUAL_PART * USUAL_PART * HOT_FACTOR / (m_run.event == QuotaEvent::NearLimit ? 1.44 : 1);
            while (ms >= account.nextSwitch * 1000) {
                account.isOn = !account.isOn;
                account.nextSwitch = std::max(account.nextSwitch, ms / 1000.0) + 0.2 + 3.5 * m_random.uniformReal();
            }
            return account.isOn ? usual * HOT_FACTOR : 0.01;
        }

        int nodeOf(ModelAccount& account, double time)
        {
            if (m_run.event != QuotaEvent::MovingCallers)
                return static_cast<int>(m_random.uniformBelow(static_cast<uint64_t>(m_run.nodes)));
            if (time >= account.nextMove) {
                account.nextMove = time + 1 + 4 * m_random.uniformReal();
                account.nodes.clear();
                for (int i = 0; i < 6; ++i)
                    account.nodes.push_back(
                        static_cast<int>(m_random.uniformBelow(static_cast<uint64_t>(m_run.nodes))));
            }
            return account.nodes[m_random.uniformBelow(account.nodes.size())];
        }

        void makeCalls(int i, int ms)
        {
            auto& account = m_accounts[static_cast<size_t>(i)];
            double from = ms / 1000.0;
            double until = from + STEP_MS / 1000.0;
            double rate = rateOf(i, ms);
            for (double at = from + exponential(rate); at < until; at += exponential(rate))
                makeCall(account, i, at);
        }

        void makeCall(ModelAccount& account, int i, double at)
        {
            auto now = m_start + std::chrono::duration_cast<Instant::duration>(std::chrono::duration<double>(at));
            int node = nodeOf(account, at);
            if (!m_scheme->isUp(node))
                return;
            bool perfect = account.perfect->tryTake(now);
            if (!perfect)
                account.perfectRefusedAt = at;
            bool isWithin = at - account.perfectRefusedAt > 5;
            bool served = m_scheme->admit(node, i, now);
            ++m_result.offered;
            m_result.perfectServed += perfect;
            m_result.served += served;
            m_result.offeredWithin += isWithin;
            m_result.refusedWithin += isWithin && !served;
            if (served)
                account.admittedAt.push_back(at);
        }

        void measure()
        {
            callers::QuotaBounds bounds;
            for (int i = 0; i < m_run.accounts; ++i) {
                const auto& account = m_accounts[static_cast<size_t>(i)];
                const auto& times = account.admittedAt;
                for (size_t first = 0, last = 0; last < times.size(); ++last) {
                    while (times[first] <= times[last] - 5)
                        ++first;
                    // A lowered limit binds one window after all nodes are in contact and have applied it.
                    bool isOld = i == m_hot && times[first] * 1000 < HEAL_MS + CONFIG_APPLY_MS;
                    const auto& limit = isOld ? m_oldLimit : account.limit;
                    double part
                        = static_cast<double>(last - first + 1) / bounds.maxCalls(limit.ratePerSecond, limit.burst);
                    if (part > m_result.mostOfBound) {
                        m_result.mostOfBound = part;
                        m_result.worstAccount = "limit " + std::to_string(static_cast<int>(limit.ratePerSecond))
                            + (i == m_hot ? " hot" : "") + " at " + std::to_string(times[last]);
                    }
                }
            }
        }

        QuotaRun m_run;
        base::Random m_random;
        Instant m_start;
        std::vector<ModelAccount> m_accounts;
        int m_hot { 0 };
        wire::ClientAccount m_oldLimit;
        std::unique_ptr<Scheme> m_scheme;
        QuotaResult m_result;
    };

}

const char* quotaSchemeName(QuotaScheme scheme)
{
    switch (scheme) {
    case QuotaScheme::Ratios:
        return "ratios";
    case QuotaScheme::NodeLimits:
        return "node_limits";
    case QuotaScheme::EqualShares:
        return "equal_shares";
    case QuotaScheme::DemandShares:
        return "demand_shares";
    default:
        return "perfect_counter";
    }
}

const char* quotaEventName(QuotaEvent event)
{
    static const char* const NAMES[] = { "none", "moving_callers", "bursts", "near_limit", "leader_killed", "partition",
        "restart", "lowered_limit" };
    return NAMES[static_cast<size_t>(event)];
}

QuotaResult runQuotaModel(const QuotaRun& run) { return Model(run).run(); }

} // namespace pomelowind::bench
