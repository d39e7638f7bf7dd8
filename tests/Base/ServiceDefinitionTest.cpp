// Guards against definitions that would allow a non-idempotent request to be sent twice.
#include "Base/Base.h"

#include <gtest/gtest.h>

using namespace Berylport;

TEST(ServiceDefinition, DefaultsAreValidOnceNamed)
{
    EXPECT_EQ(validate({ .name = ServiceName("bookings") }), std::nullopt);
}

TEST(ServiceDefinition, OnlyIdempotentServicesAreHedged)
{
    ServiceDefinition definition { .name = ServiceName("bookings"), .kind = RequestKind::AtMostOnce, .isHedged = true };
    EXPECT_EQ(validate(definition), DefinitionError::HedgeNeedsIdempotent);
}

TEST(ServiceDefinition, KindsReadBackFromTheirText)
{
    EXPECT_EQ(parseRequestKind(toText(RequestKind::Patient)), RequestKind::Patient);
    EXPECT_EQ(parseRequestKind("none"), std::nullopt);
}
