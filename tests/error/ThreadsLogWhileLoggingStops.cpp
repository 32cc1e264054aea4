// Guards against a thread that logs while another ends logging, which happens when an event loop or the disk fails.

#include "pomelowind/base/Log.h"

#include <cstdlib>
#include <gtest/gtest.h>

using namespace pomelowind;

TEST(ThreadsLogWhileLoggingStops, ALineAfterTheEndOfLoggingEndsNoProcess)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    EXPECT_EXIT(
        {
            base::startLogging("test", "info");
            base::stopLogging();
            base::logInfo("test.line");
            std::_Exit(EXIT_SUCCESS);
        },
        testing::ExitedWithCode(EXIT_SUCCESS), "");
}
