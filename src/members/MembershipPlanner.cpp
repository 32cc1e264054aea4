#include "pomelowind/members/MembershipPlanner.h"

#include <algorithm>

namespace pomelowind::members {

namespace {

    using HostIds = std::vector<std::string>;

    bool contains(const HostIds& ids, const std::string& id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    const HostStatus* find(const std::vector<HostStatus>& hosts, const std::string& id)
    {
        auto it = std::find_if(hosts.begin(), hosts.end(), [&](const HostStatus& host) { return host.id == id; });
        return it == hosts.end() ? nullptr : &*it;
    }

    bool isReachable(const std::vector<HostStatus>& hosts, const std::string& id)
    {
        const auto* host = find(hosts, id);
        return host && host->reachable;
    }

    size_t countReachableVoters(const wire::Membership& membership, const std::vector<HostStatus>& hosts)
    {
        return static_cast<size_t>(std::count_if(membership.voters.begin(), membership.voters.end(),
            [&](const std::string& it) { return isReachable(hosts, it); }));
    }

    wire::Membership promoted(wire::Membership membership, const std::string& id)
    {
        std::erase(membership.learners, id);
        membership.voters.push_back(id);
        return membership;
    }

    wire::Membership demoted(wire::Membership membership, const std::string& id)
    {
        std::erase(membership.voters, id);
        membership.learners.push_back(id);
        return membership;
    }

    std::optional<std::string> findPromotableLearner(
        const wire::Membership& current, const std::vector<HostStatus>& hosts)
    {
        for (const auto& it : current.learners) {
            const auto* host = find(hosts, it);
            if (host && host->reachable && host->caughtUp && !host->recovering)
                return it;
        }
        return std::nullopt;
    }

    std::optional<std::string> findUnreachableVoter(
        const wire::Membership& current, const std::vector<HostStatus>& hosts, const std::string& self)
    {
        for (const auto& it : current.voters) {
            if (it != self && !isReachable(hosts, it))
                return it;
        }
        return std::nullopt;
    }

}

std::optional<wire::Membership> planMembership(const wire::Membership& current, const std::vector<HostStatus>& hosts,
    const std::string& self, size_t desiredVoters)
{
    // Demote a surplus unreachable voter first: it makes the required majority larger than necessary.
    auto unreachable = findUnreachableVoter(current, hosts, self);
    if (current.voters.size() > desiredVoters && unreachable) {
        auto next = demoted(current, *unreachable);
        if (countReachableVoters(next, hosts) > next.voters.size() / 2)
            return next;
    }
    if (current.voters.size() < desiredVoters || (unreachable && current.voters.size() == desiredVoters)) {
        if (auto learner = findPromotableLearner(current, hosts))
            return promoted(current, *learner);
    }
    // Add a discovered host as a learner.
    for (const auto& it : hosts) {
        bool isMember = contains(current.voters, it.id) || contains(current.learners, it.id);
        if (isMember || !it.reachable)
            continue;
        auto next = current;
        next.learners.push_back(it.id);
        return next;
    }
    // Remove a learner that has been silent for long.
    for (const auto& it : current.learners) {
        const auto* host = find(hosts, it);
        if (host && !host->expired)
            continue;
        auto next = current;
        std::erase(next.learners, it);
        return next;
    }
    return std::nullopt;
}

} // namespace pomelowind::members
