// Writes events through easylogging++, one logger per channel.
#include "Log/Log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace Berylport {

namespace {

bool isStarted = false;
Level threshold = Level::Info;

void appendEscaped(std::string& line, std::string_view text)
{
    static constexpr char digits[] = "0123456789abcdef";
    for (char c : text) {
        auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (byte < 0x20 || byte == 0x7f) {
            line += "\\x";
            line += digits[byte >> 4];
            line += digits[byte & 15];
        } else
            line += c;
    }
}

el::Configurations makeConfigurations(const LogOptions& options)
{
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    // easylogging++ writes a file in the working directory unless this is off.
    configurations.setGlobally(el::ConfigurationType::ToFile, options.file.empty() ? "false" : "true");
    if (!options.file.empty())
        configurations.setGlobally(el::ConfigurationType::Filename, options.file);
    return configurations;
}

void writeLine(el::Logger* logger, Level level, const std::string& line)
{
    switch (level) {
    case Level::Debug:
        logger->debug("%v", line);
        return;
    case Level::Info:
        logger->info("%v", line);
        return;
    case Level::Warning:
        logger->warn("%v", line);
        return;
    case Level::Error:
        logger->error("%v", line);
        return;
    }
}

} // namespace

std::optional<Level> parseLevel(std::string_view text)
{
    for (Level it : { Level::Debug, Level::Info, Level::Warning, Level::Error }) {
        if (toText(it) == text)
            return it;
    }
    return std::nullopt;
}

void startLog(const LogOptions& options)
{
    threshold = options.level;
    auto configurations = makeConfigurations(options);
    el::Loggers::setDefaultConfigurations(configurations, true);
    for (auto& it : eventCatalogue())
        el::Loggers::getLogger(std::string(toText(channelOf(it.event))))->configure(configurations);
    isStarted = true;
}

std::string formatEvent(Event event, std::initializer_list<LogField> fields)
{
    std::string line(toText(channelOf(event)));
    line += " " + toText(event) + " ";
    line += describe(event).name;
    for (auto& it : fields) {
        line += " ";
        line += it.name;
        line += "=\"";
        appendEscaped(line, it.value);
        line += '"';
    }
    return line;
}

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const EventInfo& info = describe(event);
    if (!isStarted || info.level < threshold)
        return;
    el::Logger* logger = el::Loggers::getLogger(std::string(toText(channelOf(event))));
    writeLine(logger, info.level, formatEvent(event, fields));
}

} // namespace Berylport
