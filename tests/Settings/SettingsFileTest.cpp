// Guards against a node that starts with a settings file it has only partly understood.
#include "Settings/Settings.h"

#include <cmath>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
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

// The template of the users' platform with the values of its fields.
std::string fillTemplate(const std::map<std::string, std::string>& fields)
{
    std::ifstream stream(std::string(BERYLPORT_SOURCE_DIR) + "/deploy/node.ini");
    std::ostringstream text;
    text << stream.rdbuf();
    std::string filled = text.str();
    for (auto& [name, value] : fields) {
        std::string placeholder = "{{" + name + "}}";
        for (size_t at = filled.find(placeholder); at != std::string::npos; at = filled.find(placeholder))
            filled.replace(at, placeholder.size(), value);
    }
    std::string flag = "{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}";
    filled.replace(filled.find(flag), flag.size(), "yes");
    EXPECT_EQ(filled.find("{{"), std::string::npos) << filled;
    return filled;
}

} // namespace

// A deployment whose platform gave 30.714285714285715 extra attempts had no node at all.
RC_GTEST_PROP(SettingsTemplate, EveryFigureOfThePlatformIsUsed, ())
{
    auto figure = [](int64_t minimum, int64_t maximum) {
        auto whole = *rc::gen::inRange<int64_t>(minimum, maximum);
        auto digits = *rc::gen::inRange<int64_t>(0, 1'000'000'000);
        std::string text = std::to_string(whole);
        return *rc::gen::arbitrary<bool>() ? text : text + "." + std::to_string(digits);
    };
    std::string extra = figure(0, 100'000);
    std::string window = figure(1, 3'000);
    std::string grace = figure(0, 3'000);
    auto settings = parseSettings("node.ini",
        fillTemplate({ { "zone", "kandy-a" }, { "region", "central" }, { "node", "sidecar-kandy-a-1" },
            { "service", "huvo11a" }, { "ip", "10.1.0.41" }, { "listen.outbound", "10.1.0.41:8629" },
            { "listen.control", "10.1.0.41:8620" }, { "listen.inbound", "10.1.0.41:8624" },
            { "listen.ready", "10.1.0.41:8625" }, { "internal-port-range.0", "7600" },
            { "internal-port-range.1", "7615" }, { "platform.address", "10.200.1.7:8627" },
            { "bounds.budget-extra", extra }, { "bounds.budget-window-s", window }, { "bounds.grace-s", grace } }));
    RC_ASSERT(settings.has_value());
    RC_ASSERT(std::abs(settings.value().retry.fleetExtra - std::stod(extra)) < 1e-6);
    RC_ASSERT(
        std::abs(std::chrono::duration<double>(settings.value().retry.window).count() - std::stod(window)) < 1e-5);
    RC_ASSERT(
        std::abs(std::chrono::duration<double>(settings.value().shutdown.killTime).count() - std::stod(grace)) < 1e-5);
}

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
