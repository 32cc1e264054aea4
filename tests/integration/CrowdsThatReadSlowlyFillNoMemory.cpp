// Guards against a process that runs out of memory because many callers ask for long answers and read them slowly or
// not at all.

#include "tests/support/CrowdedMesh.h"

using namespace pomelowind;

namespace {

class CrowdsThatReadSlowlyFillNoMemory : public tests::CrowdedMesh { };

}

TEST_F(CrowdsThatReadSlowlyFillNoMemory, WhenTheyReadNothing)
{
    start(1);
    tests::CallerCrowd crowd(mesh->address("caller", 0));
    for (int i = 0; i < CALLERS; ++i)
        crowd.add(longRequest(), true);
    EXPECT_TRUE(isAnswered(ordinary()));
    expectWithinBounds("node-0");
}

TEST_F(CrowdsThatReadSlowlyFillNoMemory, WhenTheyReadSomeBytesNowAndThen)
{
    start(1);
    tests::CallerCrowd crowd(mesh->address("caller", 0));
    for (int i = 0; i < CALLERS; ++i) {
        crowd.add(longRequest(), true);
        crowd.readSome(512);
    }
    EXPECT_TRUE(isAnswered(ordinary()));
    expectWithinBounds("node-0");
}

TEST_F(CrowdsThatReadSlowlyFillNoMemory, WhenTheTargetIsAtAnotherNode)
{
    start(2);
    tests::CallerCrowd crowd(mesh->address("caller", 0));
    for (int i = 0; i < CALLERS; ++i)
        crowd.add(longRequest(), true);
    EXPECT_TRUE(isAnswered(ordinary()));
    expectWithinBounds("node-0");
    expectWithinBounds("node-1");
}
