// Packed messages unpack to their original bytes, on both sides of the size from which they are compressed, and
// malformed ones are rejected.

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Packing.h"
#include "pomelowind/base/Random.h"

#include <gtest/gtest.h>

using namespace pomelowind;

TEST(PackedMessagesRoundTrip, AllSizesRoundTrip)
{
    base::Random random(3);
    for (size_t n : { 0, 1, 2047, 2048, 5000, 200000 }) {
        std::string text;
        while (text.size() < n)
            text += "route " + std::to_string(random.uniformBelow(100)) + ";";
        text.resize(n);
        EXPECT_EQ(base::unpack(base::pack(text)), text) << n;
    }
    EXPECT_LT(base::pack(std::string(200000, 'x')).size(), 2000u);
}

TEST(PackedMessagesRoundTrip, MalformedInputIsRejected)
{
    auto packed = base::pack(std::string(5000, 'x'));
    EXPECT_THROW(base::unpack(""), base::UserError);
    EXPECT_THROW(base::unpack(packed.substr(0, packed.size() / 2)), base::UserError);
    packed[0] = 9;
    EXPECT_THROW(base::unpack(packed), base::UserError);
}
