// One list of all settings: section, key, unit, range and meaning. Parsing, checking and the documentation test use it.
#pragma once

#include "Settings/NodeSettings.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace Berylport {

// Stores the value or returns what is wrong with it.
using SettingParser = std::function<std::optional<std::string>(NodeSettings&, std::string_view)>;

struct SettingInfo {
    std::string_view section;
    std::string_view key;
    // "ms", "bytes", "count", "share", "address:port", "name" or "text".
    std::string_view unit;
    std::string range;
    std::string_view meaning;
    bool isRequired { false };
    SettingParser parse;
    // Text of the default; empty for a setting without one.
    std::string defaultText;
};

std::span<const SettingInfo> settingsSchema();

} // namespace Berylport
