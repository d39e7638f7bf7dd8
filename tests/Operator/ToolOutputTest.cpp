// Guards the text and JSON forms that operators and scripts read.
#include "Operator/Operator.h"

#include <gtest/gtest.h>
#include <limits>

using namespace Berylport::Tool;

namespace {

Table createTable()
{
    return { { "name", "queueLimit", "hedged", "zones" },
        { { std::string("slotdesk"), uint64_t(20), true, std::vector<std::string> { "kandy-a", "galle-a" } },
            { std::string("x"), uint64_t(12345), false, std::vector<std::string> {} } } };
}

} // namespace

TEST(ToolOutputTest, TableColumnsAreAligned)
{
    EXPECT_EQ(formatTable(createTable()),
        "name      queue limit  hedged  zones\n"
        "slotdesk  20           yes     kandy-a, galle-a\n"
        "x         12345        no      -\n");
}

TEST(ToolOutputTest, RecordHasOneLineForEachColumn)
{
    EXPECT_EQ(formatRecord(createTable()),
        "name         slotdesk\n"
        "queue limit  20\n"
        "hedged       yes\n"
        "zones        kandy-a, galle-a\n");
}

TEST(ToolOutputTest, JsonKeepsTypes)
{
    EXPECT_EQ(toJsonArray(createTable()),
        R"([{"name":"slotdesk","queueLimit":20,"hedged":true,"zones":["kandy-a","galle-a"]},)"
        R"({"name":"x","queueLimit":12345,"hedged":false,"zones":[]}])"
        "\n");
    EXPECT_EQ(toJsonArray({ { "name" }, {} }), "[]\n");
}

// Quotes in a text must not break the JSON, and a metric without a number must not become invalid JSON.
TEST(ToolOutputTest, JsonIsValidForUnusualValues)
{
    Table table { { "text", "none", "large", "half" },
        { { std::string("a\"b\\"), std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<uint64_t>::max(),
            0.5 } } };
    EXPECT_EQ(toJsonObject(table),
        "{\"text\":\"a\\\"b\\\\\",\"none\":null,\"large\":\"18446744073709551615\",\"half\":0.5}\n");
}
