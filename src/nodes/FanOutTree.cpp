#include "pomelowind/nodes/FanOutTree.h"

#include "pomelowind/base/Hash.h"

#include <algorithm>

namespace pomelowind::nodes {

namespace {

    struct RankedNode {
        uint64_t score;
        wire::NodeInfo node;
    };

    // Returns the live nodes of the data centre that rank before `self`, in rank order.
    std::vector<RankedNode> nodesRankedBefore(
        const std::string& self, const std::string& dataCentre, const std::vector<wire::NodeInfo>& members)
    {
        uint64_t ownScore = base::rendezvousScore(dataCentre, self);
        std::vector<RankedNode> out;
        for (const auto& it : members) {
            if (it.gone || it.dataCentre != dataCentre || it.node == self)
                continue;
            uint64_t score = base::rendezvousScore(dataCentre, it.node);
            if (score > ownScore || (score == ownScore && it.node < self))
                out.push_back({ score, it });
        }
        std::sort(out.begin(), out.end(), [](const RankedNode& a, const RankedNode& b) {
            return a.score != b.score ? a.score > b.score : a.node.node < b.node.node;
        });
        return out;
    }

}

std::vector<wire::NodeInfo> relayAncestors(
    const std::string& self, const std::string& dataCentre, const std::vector<wire::NodeInfo>& members, size_t fanOut)
{
    auto higherRanked = nodesRankedBefore(self, dataCentre, members);
    std::vector<wire::NodeInfo> out;
    size_t rank = higherRanked.size();
    while (rank > 0) {
        rank = (rank - 1) / fanOut;
        out.push_back(higherRanked[rank].node);
    }
    return out;
}

} // namespace pomelowind::nodes
