// Guards against an acknowledged departure that stays out of the store although the store is back.
#include "Node/NodeRegistrar.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

constexpr Instant start = instantFromMicroseconds(1'000'000);

class NodeRegistrarTest : public testing::Test {
protected:
    // Performs what is due and returns whether the row was to be written.
    bool isWriteDue(Instant now)
    {
        std::vector<RowAction> actions;
        m_rows.tick(now, actions);
        return actions.size() == 1 && std::holds_alternative<WriteRow>(actions[0]);
    }
    bool isReadDue(Instant now)
    {
        std::vector<RowAction> actions;
        m_rows.tick(now, actions);
        return actions.size() == 1 && !std::holds_alternative<WriteRow>(actions[0]);
    }

    NodeRow m_row { .node = NodeId { 5 }, .gossip = { .address = "10.1.0.4", .port = 7600 }, .departed = std::nullopt };
    NodeRegistrar m_rows { {}, "vm-1", m_row };
};

} // namespace

// The write was retried after up to 4 s, in which the end of all nodes lost the departure.
TEST_F(NodeRegistrarTest, ADepartureIsStoredAsSoonAsTheStoreAnswers)
{
    ASSERT_TRUE(isReadDue(start));
    StoredRow stored { .key = "vm-1", .row = m_row, .version = 3 };
    m_rows.rowsRead(std::span(&stored, 1), 0, start);
    ASSERT_TRUE(m_rows.isDurable());
    m_rows.setDeparted({ .instance = "i-1", .startedAtMilliseconds = 100 }, start + 1s);
    ASSERT_TRUE(isWriteDue(start + 1s));
    m_rows.writeFailed(WriteFailure::Unknown, start + 1s);
    // Each failure doubles the delay.
    for (Instant now = start + 1s; now < start + 20s; now += 10ms) {
        if (isReadDue(now))
            m_rows.readFailed(now);
    }
    ASSERT_FALSE(isReadDue(start + 20s) || isWriteDue(start + 20s));
    m_rows.storeAnswered(start + 20s);
    ASSERT_TRUE(isReadDue(start + 20s));
    m_rows.rowsRead(std::span(&stored, 1), 0, start + 20s);
    EXPECT_TRUE(isWriteDue(start + 20s));
}

// Rows without a departure keep their delays, as a whole fleet may hear the store at the same moment.
TEST_F(NodeRegistrarTest, ARowWithoutADepartureKeepsItsDelay)
{
    ASSERT_TRUE(isReadDue(start));
    m_rows.readFailed(start);
    m_rows.storeAnswered(start + 1ms);
    EXPECT_FALSE(isReadDue(start + 1ms));
}
