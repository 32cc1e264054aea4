#include "pomelowind/nodes/RelayTree.h"

#include "pomelowind/base/Hash.h"

#include <algorithm>

namespace pomelowind::nodes {

namespace {

    struct Ranked {
        uint64_t score;
        wire::NodeInfo node;
    };

    // Returns the live nodes of the data centre that rank before `self`, in rank order.
    std::vector<Ranked> nodesBefore(
        const std::string& self, const std::string& dataCentre, const std::vector<wire::NodeInfo>& members)
    {
        uint64_t own = base::rendezvousScore(dataCentre, self);
        std::vector<Ranked> out;
        for (const auto& it : members) {
            if (it.gone || it.dataCentre != dataCentre || it.node == self)
                continue;
            uint64_t score = base::rendezvousScore(dataCentre, it.node);
            if (score > own || (score == own && it.node < self))
                out.push_back({ score, it });
        }
        std::sort(out.begin(), out.end(), [](const Ranked& a, const Ranked& b) {
            return a.score != b.score ? a.score > b.score : a.node.node < b.node.node;
        });
        return out;
    }

}

std::vector<wire::NodeInfo> relayParents(
    const std::string& self, const std::string& dataCentre, const std::vector<wire::NodeInfo>& members, size_t fanOut)
{
    auto before = nodesBefore(self, dataCentre, members);
    std::vector<wire::NodeInfo> out;
    size_t place = before.size();
    while (place > 0) {
        place = (place - 1) / fanOut;
        out.push_back(before[place].node);
    }
    return out;
}

} // namespace pomelowind::nodes
