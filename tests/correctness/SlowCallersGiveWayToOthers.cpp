// Guards against an ordinary caller losing its connection for a slow one, and against too few bytes becoming free.

#include "http/SlowCallers.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using http::transfersToEnd;

namespace {

using Indexes = std::vector<size_t>;
constexpr double SLOW = 1000;

}

TEST(SlowCallersGiveWayToOthers, TheSlowestAndLargestFirst)
{
    std::vector<http::HeldTransfer> transfers { { 10, 5 }, { 10, 0 }, { 30, 0 }, { 50, 999 } };
    EXPECT_EQ(transfersToEnd(transfers, 1, SLOW), Indexes({ 2 }));
    EXPECT_EQ(transfersToEnd(transfers, 31, SLOW), Indexes({ 2, 1 }));
    EXPECT_EQ(transfersToEnd(transfers, 1000, SLOW), Indexes({ 2, 1, 0, 3 }));
}

TEST(SlowCallersGiveWayToOthers, ButNoFastOnes)
{
    EXPECT_EQ(transfersToEnd({ { 1000, SLOW }, { 1000, 5000 } }, 1000, SLOW), Indexes());
    EXPECT_EQ(transfersToEnd({ { 1000, 0 } }, 0, SLOW), Indexes());
}

TEST(SlowCallersGiveWayToOthers, MeasuredOverTheLastSecondOnly)
{
    base::Instant start;
    http::TransferRate rate;
    rate.start(start);
    rate.add(1000000);
    EXPECT_FALSE(rate.bytesPerSecond(start + base::Millis(900))) << "one lost packet is no sign of a slow caller";
    EXPECT_DOUBLE_EQ(*rate.bytesPerSecond(start + base::Millis(1000)), 1000000);
    EXPECT_DOUBLE_EQ(*rate.bytesPerSecond(start + base::Millis(1200)), 1000000);
    EXPECT_DOUBLE_EQ(*rate.bytesPerSecond(start + base::Millis(2000)), 0);
}
