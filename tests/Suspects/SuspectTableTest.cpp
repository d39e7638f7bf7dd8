// Guards against a request that ends one target after the other, and against innocent requests that are refused because
// they ran beside it.
#include "Suspects/Suspects.h"

#include "Base/Random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

constexpr Instant start = instantFromMicroseconds(100'000'000);

RequestFingerprint request(uint8_t n)
{
    RequestFingerprint fingerprint;
    fingerprint.head.fill(n);
    return fingerprint;
}

HttpRequest makeRequest(std::string target, std::string body = {})
{
    return { .method = "POST",
        .target = std::move(target),
        .headers = { { .name = "X-Id", .value = "1" } },
        .body = std::move(body) };
}

void tell(SuspectTable& from, SuspectTable& to, Instant now)
{
    for (auto& it : from.records())
        to.merge(it, now);
}

} // namespace

TEST(RequestFingerprint, IsTheSameForTheSameRequestUnderAnotherId)
{
    RequestScope scope { .origin = "bookings", .account = "a", .destination = "a.example" };
    HttpRequest first = makeRequest("/slots?page=2", "body");
    HttpRequest again = first;
    again.headers[0].value = "2";
    EXPECT_EQ(hashRequest(scope, first), hashRequest(scope, again));
    EXPECT_NE(hashRequest(scope, first), hashRequest(scope, makeRequest("/slots?page=3", "body")));
    EXPECT_NE(hashRequest(scope, first), hashRequest(scope, makeRequest("/slots?page=2", "bode")));
    EXPECT_EQ(parseFingerprint(toText(hashRequest(scope, first))), hashRequest(scope, first));
    EXPECT_FALSE(parseFingerprint("12"));
}

// Nobody may be able to have another's request refused.
TEST(RequestFingerprint, DiffersBetweenCallersAndDoesNotRunFieldsTogether)
{
    HttpRequest request = makeRequest("/a");
    auto hash = [&](std::string_view origin, std::string_view account, std::string_view destination) {
        return hashRequest({ .origin = origin, .account = account, .destination = destination }, request);
    };
    EXPECT_NE(hash("bookings", "a", "x"), hash("bookings", "b", "x"));
    EXPECT_NE(hash("bookings", "a", "x"), hash("quotes", "a", "x"));
    EXPECT_NE(hash("bookings", "a", "x"), hash("bookings", "a", "y"));
    EXPECT_NE(hash("ab", "c", "x"), hash("a", "bc", "x"));
}

TEST(SuspectTable, ARequestIsRefusedOnceThreeTargetsHaveEndedUnderIt)
{
    SuspectTable table;
    table.recordEnd(request(1), 11, start);
    EXPECT_EQ(table.suspicion(request(1)), Suspicion::Suspect);
    // Another copy of it ran on the same target.
    table.recordEnd(request(1), 11, start);
    EXPECT_EQ(table.suspicion(request(1)), Suspicion::Suspect);
    table.recordEnd(request(1), 12, start);
    EXPECT_EQ(table.suspicion(request(1)), Suspicion::Repeated);
    table.recordEnd(request(1), 13, start);
    EXPECT_EQ(table.suspicion(request(1)), Suspicion::Refused);
    EXPECT_EQ(table.suspicion(request(2)), Suspicion::None);
}

TEST(SuspectTable, EndsSeenByDifferentNodesAddUp)
{
    SuspectTable nodes[3];
    for (uint64_t n = 0; n < 3; ++n)
        nodes[n].recordEnd(request(1), n + 1, start);
    tell(nodes[0], nodes[1], start);
    tell(nodes[1], nodes[2], start);
    EXPECT_EQ(nodes[2].suspicion(request(1)), Suspicion::Refused);
    tell(nodes[2], nodes[0], start);
    tell(nodes[2], nodes[1], start);
    for (auto& it : nodes) {
        EXPECT_EQ(it.suspicion(request(1)), Suspicion::Refused);
        EXPECT_EQ(it.digest(), nodes[0].digest());
    }
}

// Popular look-ups are in flight whenever a target ends.
TEST(SuspectTable, ARequestThatEndsWellIsNotRefusedForTheTargetsThatEndBesideIt)
{
    SuspectTable table;
    for (uint64_t n = 1; n <= 20; ++n) {
        Instant now = start + n * 500ms;
        table.recordGoodEnd(request(1), now);
        table.recordEnd(request(1), n, now + 100ms);
        EXPECT_EQ(table.suspicion(request(1)), Suspicion::None);
    }
}

TEST(SuspectTable, AGoodEndAtAnotherNodeClearsARequest)
{
    SuspectTable table;
    SuspectTable other;
    other.recordGoodEnd(request(1), start);
    for (uint64_t n = 1; n <= 3; ++n)
        table.recordEnd(request(1), n, start + 1s);
    EXPECT_EQ(table.suspicion(request(1)), Suspicion::Refused);
    tell(table, other, start + 1s);
    EXPECT_EQ(other.suspicion(request(1)), Suspicion::None);
    auto changes = other.takeChanges();
    ASSERT_EQ(changes.size(), 1u);
    table.merge(changes[0], start + 1s);
    EXPECT_EQ(table.suspicion(request(1)), Suspicion::None);
}

// The request may have become one that ends its targets.
TEST(SuspectTable, AGoodEndOfLongAgoProvesNothing)
{
    SuspectTable table;
    table.recordGoodEnd(request(1), start);
    for (uint64_t n = 1; n <= 3; ++n)
        table.recordEnd(request(1), n, start + 1min);
    EXPECT_EQ(table.suspicion(request(1)), Suspicion::Refused);
}

TEST(SuspectTable, ARefusedRequestIsForgottenAnHourAfterItLastCame)
{
    SuspectTable table;
    for (uint64_t n = 1; n <= 3; ++n)
        table.recordEnd(request(1), n, start);
    table.recordRefusal(request(1), start + 30min);
    table.expire(start + 89min);
    EXPECT_EQ(table.suspicion(request(1)), Suspicion::Refused);
    table.expire(start + 91min);
    EXPECT_EQ(table.suspicion(request(1)), Suspicion::None);
    EXPECT_EQ(table.digest(), 0u);
}

TEST(SuspectTable, MemoryIsBoundedAndRefusedRequestsStayLongest)
{
    SuspectTable table;
    for (uint64_t n = 1; n <= 3; ++n)
        table.recordEnd(request(1), n, start);
    Random random(1);
    for (uint64_t n = 0; n < 10'000; ++n) {
        RequestFingerprint fingerprint;
        for (auto& it : fingerprint.head)
            it = static_cast<uint8_t>(random.next());
        table.recordEnd(fingerprint, n, start + 1s);
        table.recordGoodEnd(fingerprint, start + 20s);
    }
    EXPECT_LE(table.records().size(), SuspectTable::Options {}.maximumRecords);
    EXPECT_EQ(table.suspicion(request(1)), Suspicion::Refused);
}

TEST(SuspectTable, RestoredRequestsAreRefusedAndKeptByTheirNode)
{
    SuspectTable table;
    std::vector<RequestFingerprint> own { request(1) };
    std::vector<RequestFingerprint> others { request(2) };
    table.restoreRefused(own, true, start);
    table.restoreRefused(others, false, start);
    EXPECT_EQ(table.suspicion(request(1)), Suspicion::Refused);
    EXPECT_EQ(table.suspicion(request(2)), Suspicion::Refused);
    EXPECT_EQ(table.ownRefused(), own);
}

TEST(SuspectTable, TheBodyDecidesWhereTheRestIsTheSame)
{
    RequestScope scope { .origin = "bookings", .account = "a", .destination = "a.example" };
    SuspectTable table;
    for (uint64_t n = 1; n <= 3; ++n)
        table.recordEnd(hashRequest(scope, makeRequest("/a", "body")), n, start);
    EXPECT_EQ(table.suspicion(scope, makeRequest("/a", "body")), Suspicion::Refused);
    EXPECT_EQ(table.suspicion(scope, makeRequest("/a", "bodz")), Suspicion::None);
    EXPECT_EQ(table.suspicion(scope, makeRequest("/b", "body")), Suspicion::None);
}

RC_GTEST_PROP(SuspectTableProperty, AllNodesComeToTheSameInAnyOrder, (uint64_t seed))
{
    Random random(seed);
    constexpr size_t nodes = 4;
    SuspectTable tables[nodes];
    Instant now = start;
    for (int n = 0; n < 60; ++n) {
        now += Duration(static_cast<int64_t>(random.below(3'000'000)));
        auto& table = tables[random.below(nodes)];
        auto fingerprint = request(static_cast<uint8_t>(1 + random.below(3)));
        switch (random.below(5)) {
        case 0:
            if (random.chance(0.2))
                table.recordGoodEnd(fingerprint, now);
            break;
        case 1:
        case 2:
            table.recordEnd(fingerprint, random.next(), now);
            break;
        default:
            tell(table, tables[random.below(nodes)], now);
        }
    }
    for (int round = 0; round < 4; ++round) {
        for (auto& from : tables) {
            for (auto& to : tables) {
                if (&from != &to)
                    tell(from, to, now);
            }
        }
    }
    for (auto& it : tables) {
        RC_ASSERT(it.digest() == tables[0].digest());
        for (uint8_t n = 1; n <= 3; ++n)
            RC_ASSERT(it.suspicion(request(n)) == tables[0].suspicion(request(n)));
    }
}
