// Guards against events that are undocumented, unnumbered or written in a form that can be forged by a field's value.
#include "Log/Log.h"

#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <sstream>

using namespace Berylport;

namespace {

std::string readSource(const std::string& name)
{
    std::ifstream stream(std::string(BERYLPORT_SOURCE_DIR) + "/" + name);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

} // namespace

TEST(EventCatalogue, NumbersAreUniqueAndNamedOnce)
{
    std::set<uint16_t> numbers;
    std::set<std::string_view> names;
    for (auto& it : eventCatalogue()) {
        EXPECT_TRUE(numbers.insert(static_cast<uint16_t>(it.event)).second) << it.name;
        EXPECT_TRUE(names.insert(it.name).second) << it.name;
        EXPECT_NE(toText(channelOf(it.event)), "unknown") << it.name;
    }
}

TEST(EventCatalogue, EveryEnumeratorHasARow)
{
    std::istringstream header(readSource("Source/Log/EventCatalogue.h"));
    size_t enumerators = 0;
    for (std::string line; std::getline(header, line);) {
        size_t position = line.find(" = ");
        if (position != std::string::npos && line.size() - position >= 7 && line.back() == ',')
            ++enumerators;
    }
    EXPECT_EQ(enumerators, eventCatalogue().size());
}

TEST(EventCatalogue, DocumentationHasTheRowOfEachEvent)
{
    std::string page = readSource("docs/events.md");
    for (auto& it : eventCatalogue()) {
        std::string row = "| " + toText(it.event) + " | " + std::string(it.name) + " | " + std::string(toText(it.level))
            + " | " + std::string(it.meaning) + " |";
        EXPECT_NE(page.find(row), std::string::npos) << row;
    }
}

TEST(Log, FieldsCannotForgeALine)
{
    std::string line = formatEvent(Event::RequestRejected, { { "reason", "a\"b\nBP-101 node-started" } });
    EXPECT_EQ(line, "http BP-201 request-rejected reason=\"a\\\"b\\x0aBP-101 node-started\"");
}
