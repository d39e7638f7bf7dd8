// Runs every script of this folder, and checks that the language rejects what it does not know.
#include "Scenarios/Engine/ScriptParser.h"
#include "Scenarios/Engine/ScriptRunner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Berylport::Scenario {
namespace {

std::vector<std::filesystem::path> scriptFiles()
{
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(SCENARIO_FOLDER)) {
        if (entry.path().extension() == ".scn")
            files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    return files;
}

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

class ScriptTest : public testing::TestWithParam<std::filesystem::path> { };

TEST_P(ScriptTest, Holds)
{
    auto text = readFile(GetParam());
    // Each script says which failure it guards against.
    EXPECT_EQ(text.find("# Guards against"), 0u);
    auto script = parseScript(GetParam().filename().string(), text);
    EXPECT_FALSE(script.expectations.empty());
    for (const auto& failure : runScript(script))
        ADD_FAILURE() << failure;
}

std::string testName(const testing::TestParamInfo<std::filesystem::path>& script)
{
    auto name = script.param.stem().string();
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

INSTANTIATE_TEST_SUITE_P(Scripts, ScriptTest, testing::ValuesIn(scriptFiles()), testName);

// Guards against an empty folder that passes as a run of all scripts.
TEST(Scripts, AreFound) { EXPECT_GE(scriptFiles().size(), 12u); }

const std::string declarations = "entry a\ntarget b runs s\nat 0ms caller 1 sends s idempotent wait 100ms\n";

std::string errorOf(const std::string& line)
{
    try {
        parseScript("x.scn", declarations + line);
    } catch (const ScriptError& error) {
        return error.what();
    }
    return "accepted";
}

// Guards against a mistyped step or expectation that silently does nothing.
TEST(ScriptParser, RejectsLinesItDoesNotKnow)
{
    EXPECT_EQ(errorOf("at 5ms link a b cut"), "accepted");
    EXPECT_EQ(errorOf("wait 5ms"), "x.scn:4: unknown statement 'wait'");
    EXPECT_EQ(errorOf("\nat 5ms unplug b"), "x.scn:5: unknown step 'unplug'");
    EXPECT_EQ(errorOf("at 5 crash b"), "x.scn:4: '5' is not a duration with the unit us, ms or s");
    EXPECT_EQ(errorOf("at -5ms crash b"), "x.scn:4: '-5ms' is not a duration with the unit us, ms or s");
    EXPECT_EQ(errorOf("at ms crash b"), "x.scn:4: 'ms' is not a whole number up to 1000000000");
    EXPECT_EQ(errorOf("at 5ms crash c"), "x.scn:4: no target 'c'");
    EXPECT_EQ(errorOf("at 5ms crash"), "x.scn:4: expected a target at the end of the line");
    EXPECT_EQ(errorOf("at 5ms crash b now"), "x.scn:4: unexpected 'now'");
    EXPECT_EQ(errorOf("at 5ms link b a cut"), "x.scn:4: no entry node 'b'");
    EXPECT_EQ(errorOf("at 5ms link a b bend"), "x.scn:4: 'bend' is not a known change of a link");
    EXPECT_EQ(errorOf("at 5ms caller 2 sends s once wait 1s"), "x.scn:4: 'once' is not a known kind");
    EXPECT_EQ(errorOf("expect call 2 unanswered"), "x.scn:4: no call 2 is sent");
    EXPECT_EQ(errorOf("expect call 1 outcome lost by 1s"), "x.scn:4: 'lost' is not a known outcome");
    EXPECT_EQ(errorOf("expect call 1 outcome run"), "x.scn:4: expected 'by' at the end of the line");
    EXPECT_EQ(
        errorOf("expect starts call 1 about 2"), "x.scn:4: expected 'at most', 'at least' or 'exactly', found 'about'");
    EXPECT_EQ(errorOf("target b runs s"), "x.scn:4: 'b' is declared twice");
    EXPECT_EQ(errorOf("target c runs s colour red"), "x.scn:4: unknown property 'colour'");
}

// Guards against expectations that are parsed and never checked.
TEST(ScriptRunner, ReportsExpectationsThatDoNotHold)
{
    const std::vector<std::string> lines {
        "expect call 1 outcome not-run by 1s",
        "expect call 1 outcome run by 1ms",
        "expect call 1 status 500",
        "expect call 1 failure refused",
        "expect call 1 unanswered",
        "expect call 1 retry-after at least 1ms",
        "expect starts call 1 at least 2",
        "expect attempts call 1 at most 0",
        "expect cancels call 1 exactly 1",
        "expect starts on b exactly 0",
        "expect starts on b at least 1 after 1s",
        "expect calls outcome may-have-run at least 1",
        "expect total attempts at least 2",
        "expect dropped replies at a at least 1",
    };
    for (const auto& line : lines) {
        auto failures = runScript(parseScript("x.scn", declarations + line));
        ASSERT_EQ(failures.size(), 1u) << line;
        EXPECT_EQ(failures[0].find("x.scn:4: "), 0u) << failures[0];
    }
    EXPECT_TRUE(runScript(parseScript("x.scn", declarations + "expect call 1 status 200")).empty());
}

} // namespace
} // namespace Berylport::Scenario
