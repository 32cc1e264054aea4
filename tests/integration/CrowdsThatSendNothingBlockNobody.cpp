// Guards against callers that open connections and send nothing, or less than they announce, and so leave no
// descriptor or memory for others.

#include "tests/support/CrowdedMesh.h"

using namespace pomelowind;

namespace {

class CrowdsThatSendNothingBlockNobody : public tests::CrowdedMesh { };

}

TEST_F(CrowdsThatSendNothingBlockNobody, WithSilentConnections)
{
    start(1);
    tests::CallerCrowd crowd(mesh->address("caller", 0));
    for (int i = 0; i < SILENT_CALLERS; ++i)
        crowd.add("", false);
    EXPECT_TRUE(isAnswered(ordinary()));
    expectWithinBounds("node-0");
}

TEST_F(CrowdsThatSendNothingBlockNobody, WithHeadsWithoutEnd)
{
    start(1);
    tests::CallerCrowd crowd(mesh->address("caller", 0));
    for (int i = 0; i < SILENT_CALLERS; ++i)
        crowd.add("GET /other HTTP/1.1\r\nHost: a.example\r\nX-Long: 1", false);
    for (int i = 0; i < 16; ++i)
        crowd.sendOnAll("\r\nX-Long: " + std::string(500, 'x'));
    EXPECT_TRUE(isAnswered(ordinary()));
    expectWithinBounds("node-0");
}

TEST_F(CrowdsThatSendNothingBlockNobody, WithBodiesAnnouncedAndNotSent)
{
    start(1);
    tests::CallerCrowd crowd(mesh->address("caller", 0));
    for (int i = 0; i < CALLERS; ++i)
        crowd.add("POST /post HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000000\r\n\r\n", false);
    EXPECT_TRUE(isAnswered({ "POST", "/post", { { "Host", "a.example" } }, std::string(900000, 'x'), nullptr }));
    expectWithinBounds("node-0");
}

TEST_F(CrowdsThatSendNothingBlockNobody, AtAControlHost)
{
    start(1);
    tests::CallerCrowd crowd(mesh->address("operator", 0));
    for (int i = 0; i < SILENT_CALLERS; ++i)
        crowd.add("", false);
    EXPECT_TRUE(mesh->waitFor([&] { return !mesh->readOperatorApi("/v1/status").empty(); }));
    expectWithinBounds("control-0");
}
