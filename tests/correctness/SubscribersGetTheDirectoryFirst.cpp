// Guards against a subscriber taking a part of the directory for all of it: the first presence that it gets is
// complete.

#include "tests/support/SingleControlHost.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using links::FrameKind;

TEST(SubscribersGetTheDirectoryFirst, AlsoWhenOthersSubscribeAtTheSameTime)
{
    tests::SingleControlHost host;
    wire::Report report;
    for (int i = 0; i < 5; ++i) {
        wire::NodeInfo node;
        node.node = "n" + std::to_string(i);
        node.dataCentre = "east";
        node.meshAddress = node.callAddress = "10.0.0.9:7000";
        node.incarnation = 7;
        report.nodes.push_back(node);
        wire::Presence target;
        target.target = "t" + std::to_string(i);
        target.node = node.node;
        target.callAddress = node.callAddress;
        target.serviceName = "desk";
        target.version = "v1";
        target.slots = 4;
        target.incarnation = 7;
        report.targets.push_back(target);
    }
    host.core->handleNodeFrame("n0", FrameKind::REPORT, base::encode(report), host.now, 1);
    for (const auto& it : report.nodes) {
        wire::Subscribe request;
        request.node = it;
        request.node.sequence = 1;
        host.sentToNodes.clear();
        host.core->handleNodeFrame(it.node, FrameKind::SUBSCRIBE, base::encode(request), host.now, 1);
        std::vector<wire::Spread> spreads;
        for (const auto& frame : host.sentToNodes) {
            if (frame.node == it.node && frame.kind == FrameKind::SPREAD)
                spreads.push_back(base::decode<wire::Spread>(frame.payload));
        }
        ASSERT_FALSE(spreads.empty());
        EXPECT_EQ(spreads.front().targets.size(), report.targets.size());
    }
}
