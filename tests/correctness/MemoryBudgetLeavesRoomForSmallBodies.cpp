// Guards against large bodies that leave no memory for calls with small ones.

#include "pomelowind/base/MemoryBudget.h"

#include <gtest/gtest.h>

using namespace pomelowind;

namespace {

constexpr size_t MIB = 1024 * 1024;

}

TEST(MemoryBudgetLeavesRoomForSmallBodies, WhenLargeOnesTakeAllOfIt)
{
    auto budget = std::make_shared<base::MemoryBudget>(4 * MIB);
    base::MemoryReservation large(budget), other(budget), small(budget);
    ASSERT_TRUE(large.growTo(4 * MIB));
    EXPECT_EQ(budget->takeShortage(), 0u);
    EXPECT_FALSE(other.growTo(MIB));
    EXPECT_EQ(budget->takeShortage(), MIB);
    EXPECT_TRUE(small.growTo(64 * 1024));
    EXPECT_FALSE(small.growTo(64 * 1024 + 1)) << "it is no small one any more";
    large.release();
    EXPECT_TRUE(other.growTo(MIB));
}

TEST(MemoryBudgetLeavesRoomForSmallBodies, AndCountsWhatIsOccupiedAlready)
{
    auto budget = std::make_shared<base::MemoryBudget>(4 * MIB);
    {
        base::MemoryReservation queue(budget), body(budget);
        queue.setTo(10 * MIB);
        EXPECT_FALSE(body.growTo(1));
        queue.setTo(MIB);
        EXPECT_TRUE(body.growTo(3 * MIB));
        EXPECT_EQ(budget->reservedBytes(), 4 * MIB);
    }
    EXPECT_EQ(budget->reservedBytes(), 0u);
}
