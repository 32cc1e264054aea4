// A target has crashed if connections with running calls broke and it then refuses a connection or is replaced, with no
// response in between.

#include "pomelowind/targets/CrashDetector.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using base::Millis;
using targets::callFingerprint;
using targets::CrashDetector;

namespace {

const base::Instant T0 = base::Instant() + std::chrono::hours(1);

}

TEST(CrashesAreToldFromBrokenConnections, RefusalAfterBreaksNamesTheCallsThatRan)
{
    CrashDetector detector;
    detector.onCallBroken({ 1, "a", T0 });
    detector.onCallBroken({ 2, "b", T0 });
    EXPECT_EQ(detector.onConnectionRefused(T0 + Millis(20)).size(), 2U);
    EXPECT_TRUE(detector.onConnectionRefused(T0 + Millis(40)).empty()) << "it is the same crash";
}

TEST(CrashesAreToldFromBrokenConnections, ReplacementAfterBreaksIsACrash)
{
    CrashDetector detector;
    detector.onCallBroken({ 1, "a", T0 });
    EXPECT_EQ(detector.onReplaced(T0 + Millis(3000)).size(), 1U);
}

TEST(CrashesAreToldFromBrokenConnections, TargetThatAnswersAfterwardsHasNotCrashed)
{
    CrashDetector detector;
    detector.onCallBroken({ 1, "a", T0 });
    detector.onAnswered(T0 + Millis(5));
    EXPECT_TRUE(detector.onConnectionRefused(T0 + Millis(20)).empty());
    EXPECT_TRUE(detector.onReplaced(T0 + Millis(20)).empty());
}

TEST(CrashesAreToldFromBrokenConnections, ResponseToAnEarlierRequestProvesNothing)
{
    CrashDetector detector;
    detector.onCallBroken({ 1, "a", T0 });
    detector.onAnswered(T0 - Millis(5));
    EXPECT_EQ(detector.onConnectionRefused(T0 + Millis(20)).size(), 1U);
}

TEST(CrashesAreToldFromBrokenConnections, RefusalLongAfterABreakIsNoCrash)
{
    CrashDetector detector;
    detector.onCallBroken({ 1, "a", T0 });
    EXPECT_TRUE(detector.onConnectionRefused(T0 + Millis(5000)).empty());
}

TEST(CrashesAreToldFromBrokenConnections, CallThatItsCallerLeftBeforeTheCrashIsNamed)
{
    CrashDetector detector;
    detector.onCallAbandoned({ 3, "long gone", T0 - Millis(5000) });
    detector.onCallAbandoned({ 1, "a", T0 });
    detector.onAnswered(T0 + Millis(10));
    detector.onCallBroken({ 2, "b", T0 + Millis(50) });
    EXPECT_EQ(detector.onConnectionRefused(T0 + Millis(60)).size(), 2U);
}

TEST(CrashesAreToldFromBrokenConnections, ReplacementAfterACallThatItsCallerLeftIsNoCrash)
{
    CrashDetector detector;
    detector.onCallAbandoned({ 1, "a", T0 });
    EXPECT_TRUE(detector.onReplaced(T0 + Millis(100)).empty());
}

TEST(CrashesAreToldFromBrokenConnections, FingerprintsDifferInEachPart)
{
    auto base = callFingerprint("GET", "a.example", "/p", "s", "body");
    EXPECT_EQ(base, callFingerprint("GET", "a.example", "/p", "s", "body"));
    EXPECT_NE(base, callFingerprint("POST", "a.example", "/p", "s", "body"));
    EXPECT_NE(base, callFingerprint("GET", "b.example", "/p", "s", "body"));
    EXPECT_NE(base, callFingerprint("GET", "a.example", "/p?q", "s", "body"));
    EXPECT_NE(base, callFingerprint("GET", "a.example", "/p", "t", "body"));
    EXPECT_NE(base, callFingerprint("GET", "a.example", "/p", "s", "bodY"));
    EXPECT_NE(callFingerprint("GET", "a", "bc", "s", ""), callFingerprint("GET", "ab", "c", "s", ""));
}
