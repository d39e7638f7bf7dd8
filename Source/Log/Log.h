// Public header of Log: writes numbered events with their fields.
#pragma once

#include "Log/EventCatalogue.h"

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

struct LogField {
    std::string_view name;
    std::string value;
};

struct LogOptions {
    Level level { Level::Info };
    // Empty: standard output only.
    std::string file;
    // Lines are gathered and written by flushLog(), which the program calls from its loop.
    bool isGathered { false };
};

// Called once at the start of a program. Without it nothing is written.
void startLog(const LogOptions&);
void setLogLevel(Level);
// Writes gathered lines as far as that needs no waiting, and reports how many were dropped.
void flushLog();

std::optional<Level> parseLevel(std::string_view);

// One line: time, level, channel, number, name, then name="value" for each field with control bytes escaped.
void logEvent(Event, std::initializer_list<LogField> = {});

// The part of a line behind the level; separate so that tests can read it.
std::string formatEvent(Event, std::initializer_list<LogField>);

} // namespace Berylport
