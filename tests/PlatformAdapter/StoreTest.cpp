// The store's calls over real sockets: what comes back as rows, as a change, and as which error.
#include "FakeStore.h"
#include "Http/LoopTest.h"
#include "platform/PlatformStore.h"

using namespace Berylport;
using namespace Berylport::Wire;
using namespace std::chrono_literals;

namespace {

class StoreTest : public LoopTest {
protected:
    StoreTest()
    {
        m_settings.platform.store = m_store.endpoint();
        m_settings.platform.timeout = 300ms;
        m_ports = connectPlatformStore(base(), m_settings, 1);
    }

    template <typename T> Completion<T> into(std::optional<StoreResult<T>>& result)
    {
        return [&result](Instant, StoreResult<T> it) { result = std::move(it); };
    }
    template <typename T> StoreResult<T> wait(std::optional<StoreResult<T>>& result)
    {
        EXPECT_TRUE(runUntil([&] { return result.has_value(); }));
        return *std::exchange(result, std::nullopt);
    }
    StoreResult<ListedRows> list()
    {
        std::optional<StoreResult<ListedRows>> result;
        m_ports.rows->list("nodes", into(result));
        return wait(result);
    }
    StoreResult<ListedRows> readRow(const std::string& key)
    {
        std::optional<StoreResult<ListedRows>> result;
        m_ports.rows->read("nodes", key, into(result));
        return wait(result);
    }
    StoreResult<StoredVersion> put(const std::string& key, const std::string& value, uint64_t expected)
    {
        std::optional<StoreResult<StoredVersion>> written;
        m_ports.rows->put("nodes", key, value, expected, into(written));
        return wait(written);
    }
    StoreResult<ConfigurationSnapshot> follow(uint64_t position)
    {
        std::optional<StoreResult<ConfigurationSnapshot>> result;
        m_ports.configuration->follow(position, 1s, into(result));
        return wait(result);
    }
    StoreResult<ConfigurationSnapshot> read()
    {
        std::optional<StoreResult<ConfigurationSnapshot>> result;
        m_ports.configuration->read(into(result));
        return wait(result);
    }

    FakeStore m_store { base() };
    NodeSettings m_settings;
    SharedStore m_ports;
};

} // namespace

TEST_F(StoreTest, RowsComeBackAsTheyWereWritten)
{
    EXPECT_TRUE(put("sidecar-\"a\" 1", "text with \n and \x01", 0).has_value());
    auto rows = list().value().rows;
    ASSERT_EQ(rows.size(), 1u);
    EXPECT_EQ(rows[0].key, "sidecar-\"a\" 1");
    EXPECT_EQ(rows[0].value, "text with \n and \x01");
}

// A write that the store carries out late must not undo a newer one, such as the departure of a target.
TEST_F(StoreTest, AWriteWithAnOlderVersionIsAConflict)
{
    auto first = put("vm", "one", 0);
    ASSERT_TRUE(first.has_value());
    auto second = put("vm", "two", first.value().version);
    ASSERT_TRUE(second.has_value());
    EXPECT_GT(second.value().version, first.value().version);
    EXPECT_EQ(put("vm", "late", 0).error().code, StoreErrorCode::Conflict);
    EXPECT_EQ(put("vm", "late", first.value().version).error().code, StoreErrorCode::Conflict);
    EXPECT_EQ(m_store.read("nodes", "vm"), "two");
}

// A fleet larger than one answer must not be cut off at the first page.
TEST_F(StoreTest, ListsEveryPage)
{
    m_store.page = 2;
    for (int n = 0; n < 7; ++n)
        m_store.write("nodes", "n" + std::to_string(n), "x");
    m_store.write("other", "m", "x");
    EXPECT_EQ(list().value().rows.size(), 7u);
}

// Rows of another writer that cannot be read must not hide those behind them.
TEST_F(StoreTest, ListsThePagesBehindUnreadableRows)
{
    m_store.page = 2;
    m_store.write("nodes", "a", "x");
    for (int n = 0; n < 5; ++n)
        m_store.write("nodes", "b" + std::to_string(n), "");
    m_store.write("nodes", "c", "x");
    EXPECT_EQ(list().value().rows.size(), 2u);
}

TEST_F(StoreTest, ReadsOneRowOnly)
{
    m_store.write("nodes", "a", "one");
    m_store.write("nodes", "c", "three");
    EXPECT_EQ(readRow("a").value().rows.at(0).value, "one");
    EXPECT_TRUE(readRow("b").value().rows.empty());
}

TEST_F(StoreTest, EveryResultNamesTheEraOfTheStore)
{
    m_store.write("op", "config", "one");
    m_store.copy();
    m_store.write("op", "config", "two");
    EXPECT_EQ(read().value().position.era, 1u);
    m_store.restore();
    EXPECT_EQ(read().value().position.era, 2u);
    EXPECT_EQ(read().value().document, "one");
    EXPECT_EQ(put("vm", "row", 0).value().era, 2u);
    EXPECT_EQ(list().value().era, 2u);
    EXPECT_EQ(readRow("vm").value().era, 2u);
    m_store.write("op", "config", "three");
    auto followed = follow(1);
    ASSERT_TRUE(followed.has_value());
    EXPECT_EQ(followed.value().position.era, 2u);
}

TEST_F(StoreTest, AVersionThatTheRestoredStoreDoesNotHaveIsLostHistory)
{
    m_store.copy();
    m_store.write("op", "config", "one");
    auto position = read().value().position.version;
    m_store.restore();
    EXPECT_EQ(follow(position).error().code, StoreErrorCode::HistoryLost);
}

TEST_F(StoreTest, AChangeAnswersTheFollowerWithTheNewestDocument)
{
    m_store.write("op", "config", "one");
    auto first = read();
    EXPECT_EQ(first.value().document, "one");
    std::optional<StoreResult<ConfigurationSnapshot>> result;
    m_ports.configuration->follow(first.value().position.version, 5s, into(result));
    runFor(50ms);
    EXPECT_FALSE(result);
    m_store.write("op", "unrelated", "x");
    EXPECT_EQ(wait(result).value().document, std::nullopt);
    m_store.write("op", "config", "two");
    EXPECT_EQ(follow(first.value().position.version).value().document, "two");
}

TEST_F(StoreTest, EachRefusalHasItsOwnError)
{
    m_store.forgetHistory();
    EXPECT_EQ(follow(0).error().code, StoreErrorCode::HistoryLost);
    m_store.status = 429;
    EXPECT_EQ(read().error().code, StoreErrorCode::Throttled);
    m_store.status = 503;
    EXPECT_EQ(read().error().code, StoreErrorCode::Unavailable);
    m_store.status = 200;
    EXPECT_EQ(read().error().code, StoreErrorCode::Malformed);
}

// A silent store must not hold the node for ever.
TEST_F(StoreTest, SilenceEndsWithATimeout)
{
    m_store.isSilent = true;
    EXPECT_EQ(read().error().code, StoreErrorCode::Timeout);
}

// A node that reads the configuration without the evacuated zones would send calls there after its start.
TEST_F(StoreTest, ReadsTheEvacuatedZonesWithTheConfiguration)
{
    m_store.write("op", "config", "{\"version\":3}");
    m_store.write("op", "evacuate/zone-b", "{}");
    m_store.write("op", "evacuate/zone-a", "{}");
    m_store.write("op", "evacuate/", "{}");
    m_store.write("op", "freeze/zone-c", "{}");
    auto snapshot = read().value();
    EXPECT_TRUE(snapshot.document.has_value());
    ASSERT_TRUE(snapshot.evacuatedZones.has_value());
    EXPECT_EQ(*snapshot.evacuatedZones, (std::vector { ZoneName("zone-a"), ZoneName("zone-b") }));
    m_store.remove("op", "evacuate/zone-b");
    EXPECT_EQ(*read().value().evacuatedZones, std::vector { ZoneName("zone-a") });
}

TEST_F(StoreTest, AFeedTellsEvacuationsAndTheirEnd)
{
    m_store.write("op", "config", "{\"version\":3}");
    auto position = read().value().position.version;
    m_store.write("op", "evacuate/zone-a", "{}");
    auto begun = follow(position).value();
    EXPECT_FALSE(begun.document.has_value());
    EXPECT_FALSE(begun.evacuatedZones.has_value());
    EXPECT_EQ(begun.evacuationChanges,
        (std::vector { EvacuationChange { .zone = ZoneName("zone-a"), .isEvacuated = true } }));
    m_store.remove("op", "evacuate/zone-a");
    EXPECT_EQ(follow(begun.position.version).value().evacuationChanges,
        (std::vector { EvacuationChange { .zone = ZoneName("zone-a"), .isEvacuated = false } }));
}
