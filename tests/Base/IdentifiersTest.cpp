// Guards against identifiers whose text form does not read back as the same value.
#include "Base/Base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Berylport;

RC_GTEST_PROP(Identifiers, CallIdReadsBackFromItsText, (uint64_t origin, uint64_t sequence))
{
    CallId id { .origin = NodeId { origin }, .sequence = sequence };
    RC_ASSERT(parseCallId(toText(id)) == id);
}

TEST(Identifiers, EndpointNeedsAnIpNumberAndAPort)
{
    EXPECT_EQ(parseEndpoint("127.0.0.1:80"), (Endpoint { .address = "127.0.0.1", .port = 80 }));
    EXPECT_EQ(parseEndpoint("[::1]:80"), (Endpoint { .address = "::1", .port = 80 }));
    EXPECT_EQ(parseEndpoint("localhost:80"), std::nullopt);
    EXPECT_EQ(parseEndpoint("127.0.0.1:"), std::nullopt);
    EXPECT_EQ(parseEndpoint("127.0.0.1:70000"), std::nullopt);
}

TEST(Identifiers, NamesAreLimitedToSafeCharacters)
{
    EXPECT_TRUE(isValidName("crew-routes"));
    EXPECT_FALSE(isValidName(""));
    EXPECT_FALSE(isValidName("-a"));
    EXPECT_FALSE(isValidName("A"));
    EXPECT_FALSE(isValidName(std::string(64, 'a')));
}
