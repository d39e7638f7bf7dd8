// Reads an INI file into NodeSettings and reports every fault with file, section and key.
#pragma once

#include "Base/Result.h"
#include "Settings/NodeSettings.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Berylport {

enum class SettingsErrorCode : uint8_t {
    UnreadableFile,
    BadSyntax,
    UnknownSection,
    UnknownKey,
    RepeatedKey,
    MissingKey,
    BadValue,
};

std::string_view toText(SettingsErrorCode);

struct SettingsError {
    SettingsErrorCode code { SettingsErrorCode::BadSyntax };
    std::string file;
    std::string section;
    std::string key;
    std::string detail;
};

std::string toText(const SettingsError&);

// All faults of the file, in its order; a settings file is used only when it has none.
using SettingsErrors = std::vector<SettingsError>;

// Overrides are of the form "section.key=value" and replace what the file says; one without a value has no effect.
Result<NodeSettings, SettingsErrors> readSettingsFile(
    const std::string& path, std::span<const std::string> overrides = {});
Result<NodeSettings, SettingsErrors> parseSettings(
    std::string_view file, const std::string& content, std::span<const std::string> overrides = {});

} // namespace Berylport
