// Guards against a node that starts with a settings file it has only partly understood.
#include "Settings/Settings.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

using namespace Berylport;

namespace {

const std::string minimal = "[node]\nzone = kandy-a\nregion = central\n"
                            "[platform]\ntable = 127.0.0.1:7001\nobjects = 127.0.0.1:7002\n";

SettingsErrors errorsOf(const std::string& content)
{
    auto result = parseSettings("node.ini", content);
    return result ? SettingsErrors() : result.error();
}

void expectOneError(const std::string& content, SettingsErrorCode code, const std::string& text)
{
    auto errors = errorsOf(content);
    ASSERT_EQ(errors.size(), 1u);
    EXPECT_EQ(errors[0].code, code);
    EXPECT_EQ(toText(errors[0]), text);
}

} // namespace

TEST(SettingsFile, MinimalFileKeepsTheDefaults)
{
    auto result = parseSettings("node.ini", minimal);
    ASSERT_TRUE(result);
    EXPECT_EQ(result.value().node.zone, ZoneName("kandy-a"));
    EXPECT_EQ(result.value().platform.timeout, std::chrono::milliseconds(500));
}

TEST(SettingsFile, EachFaultNamesFileSectionAndKey)
{
    expectOneError(
        minimal + "[log]\nlevle = info\n", SettingsErrorCode::UnknownKey, "node.ini: [log] levle: unknown key");
    expectOneError(
        minimal + "[lgo]\nlevel = info\n", SettingsErrorCode::UnknownSection, "node.ini: [lgo] level: unknown section");
    expectOneError(minimal + "[log]\nlevel = loud\n", SettingsErrorCode::BadValue,
        "node.ini: [log] level: bad value: \"loud\" must be one of debug, info, warning, error");
    expectOneError(minimal + "[log]\nlevel = info\nlevel = info\n", SettingsErrorCode::RepeatedKey,
        "node.ini: [log] level: the key is given twice");
    expectOneError("[node]\nzone = kandy-a\n[platform]\ntable = 127.0.0.1:1\nobjects = 127.0.0.1:2\n",
        SettingsErrorCode::MissingKey, "node.ini: [node] region: the key is required");
    expectOneError(minimal + "rubbish\n", SettingsErrorCode::BadSyntax,
        "node.ini: is not a section, a key with a value or a comment: line 7");
}

TEST(SettingsFile, AllFaultsAreReportedAtOnce)
{
    EXPECT_EQ(errorsOf(minimal + "[measure]\nbyte_share = nan\ncpu_share = 2\n").size(), 2u);
}

TEST(SettingsFile, MissingFileIsAnError)
{
    auto result = readSettingsFile("does-not-exist.ini");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error()[0].code, SettingsErrorCode::UnreadableFile);
}

// Guards against a settings page that differs from the code: each key's row must hold its unit, default and range.
TEST(SettingsSchema, DocumentationHasTheRowOfEachKey)
{
    std::ifstream stream(std::string(BERYLPORT_SOURCE_DIR) + "/docs/settings.md");
    std::ostringstream page;
    page << stream.rdbuf();
    for (auto& it : settingsSchema()) {
        std::string defaultText = it.isRequired ? "required"
            : it.defaultText.empty()            ? "empty"
                                                : "`" + it.defaultText + "`";
        std::string row = "| `" + std::string(it.section) + "` | `" + std::string(it.key) + "` | "
            + std::string(it.unit) + " | " + defaultText + " | " + it.range + " | " + std::string(it.meaning) + " |";
        EXPECT_NE(page.str().find(row), std::string::npos) << row;
    }
}
