// Checks a settings file as a whole before any value is used.
#include "Settings/SettingsFile.h"

#include "Settings/SettingsSchema.h"

#include <fstream>
#include <ini.h>
#include <set>
#include <sstream>

namespace Berylport {

namespace {

struct Entry {
    std::string section;
    std::string key;
    std::string value;
    bool isOverride { false };
};

int collectEntry(void* user, const char* section, const char* key, const char* value)
{
    auto& entries = *static_cast<std::vector<Entry>*>(user);
    entries.push_back({ .section = section, .key = key, .value = value ? value : "" });
    return 1;
}

const SettingInfo* findSetting(const Entry& entry)
{
    for (auto& it : settingsSchema()) {
        if (it.section == entry.section && it.key == entry.key)
            return &it;
    }
    return nullptr;
}

bool isKnownSection(std::string_view section)
{
    for (auto& it : settingsSchema()) {
        if (it.section == section)
            return true;
    }
    return false;
}

class Checker {
public:
    explicit Checker(std::string_view file)
        : m_file(file)
    {
    }

    void apply(const Entry& entry)
    {
        const SettingInfo* info = findSetting(entry);
        if (!info) {
            auto code
                = isKnownSection(entry.section) ? SettingsErrorCode::UnknownKey : SettingsErrorCode::UnknownSection;
            report(code, entry.section, entry.key, "");
            return;
        }
        if (!m_seen.emplace(entry.section, entry.key).second && !entry.isOverride) {
            report(SettingsErrorCode::RepeatedKey, entry.section, entry.key, "");
            return;
        }
        if (auto fault = info->parse(m_settings, entry.value))
            report(SettingsErrorCode::BadValue, entry.section, entry.key, "\"" + entry.value + "\" " + *fault);
    }

    void requireAll()
    {
        for (auto& it : settingsSchema()) {
            bool isReplaced = it.section == "platform" && m_settings.platform.store.has_value();
            if (it.isRequired && !isReplaced && !m_seen.contains({ std::string(it.section), std::string(it.key) }))
                report(SettingsErrorCode::MissingKey, std::string(it.section), std::string(it.key), "");
        }
    }

    void report(SettingsErrorCode code, std::string section, std::string key, std::string detail)
    {
        m_errors.push_back({ .code = code,
            .file = m_file,
            .section = std::move(section),
            .key = std::move(key),
            .detail = std::move(detail) });
    }

    Result<NodeSettings, SettingsErrors> finish()
    {
        if (!m_errors.empty())
            return m_errors;
        return m_settings;
    }

private:
    std::string m_file;
    NodeSettings m_settings;
    SettingsErrors m_errors;
    std::set<std::pair<std::string, std::string>> m_seen;
};

} // namespace

std::string_view toText(SettingsErrorCode code)
{
    switch (code) {
    case SettingsErrorCode::UnreadableFile:
        return "cannot read the file";
    case SettingsErrorCode::BadSyntax:
        return "is not a section, a key with a value or a comment";
    case SettingsErrorCode::UnknownSection:
        return "unknown section";
    case SettingsErrorCode::UnknownKey:
        return "unknown key";
    case SettingsErrorCode::RepeatedKey:
        return "the key is given twice";
    case SettingsErrorCode::MissingKey:
        return "the key is required";
    case SettingsErrorCode::BadValue:
        return "bad value";
    }
    return "unknown";
}

std::string toText(const SettingsError& error)
{
    std::string text = error.file + ": ";
    if (!error.section.empty())
        text += "[" + error.section + "] ";
    if (!error.key.empty())
        text += error.key + ": ";
    text += toText(error.code);
    if (!error.detail.empty())
        text += ": " + error.detail;
    return text;
}

Result<NodeSettings, SettingsErrors> parseSettings(
    std::string_view file, const std::string& content, std::span<const std::string> overrides)
{
    Checker checker(file);
    std::vector<Entry> entries;
    int badLine = ini_parse_string(content.c_str(), collectEntry, &entries);
    if (badLine)
        checker.report(SettingsErrorCode::BadSyntax, "", "", "line " + std::to_string(badLine));
    for (auto& it : entries)
        checker.apply(it);
    for (auto& it : overrides) {
        auto dot = it.find('.');
        auto equals = it.find('=');
        if (dot == std::string::npos || equals == std::string::npos || dot > equals)
            checker.report(SettingsErrorCode::BadSyntax, "", "", "\"" + it + "\" must be section.key=value");
        else if (equals + 1 < it.size())
            checker.apply({ .section = it.substr(0, dot),
                .key = it.substr(dot + 1, equals - dot - 1),
                .value = it.substr(equals + 1),
                .isOverride = true });
    }
    checker.requireAll();
    return checker.finish();
}

Result<NodeSettings, SettingsErrors> readSettingsFile(const std::string& path, std::span<const std::string> overrides)
{
    std::ifstream stream(path);
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream) {
        Checker checker(path);
        checker.report(SettingsErrorCode::UnreadableFile, "", "", "");
        return checker.finish();
    }
    return parseSettings(path, content.str(), overrides);
}

} // namespace Berylport
