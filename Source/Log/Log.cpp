// Writes events through easylogging++, one logger per channel.
#include "Log/Log.h"

#include "Log/LogOutput.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace Berylport {

namespace {

// Gathered lines are written when this many bytes wait, or by flushLog().
constexpr size_t gatherBytes = 16 * 1024;

bool isStarted = false;
Level threshold = Level::Info;
// Of the event that is being written; the library passes only the text on.
LineRank currentRank = LineRank::Detail;

LogOutput& output(size_t gather = 0)
{
    static LogOutput instance({ .gatherBytes = gather });
    return instance;
}

// Takes the place of the library's own writing to standard output, which would wait for a slow reader.
class OutputCallback : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) override
    {
        if (data->dispatchAction() != el::base::DispatchAction::NormalLog)
            return;
        auto* message = data->logMessage();
        auto line = message->logger()->logBuilder()->build(message, true);
        output().append(line, currentRank, steadyNow());
    }
};

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
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
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
    output(options.isGathered ? gatherBytes : 0);
    el::Helpers::installLogDispatchCallback<OutputCallback>("BerylportOutput");
    auto configurations = makeConfigurations(options);
    el::Loggers::setDefaultConfigurations(configurations, true);
    for (auto& it : eventCatalogue())
        el::Loggers::getLogger(std::string(toText(channelOf(it.event))))->configure(configurations);
    isStarted = true;
}

void setLogLevel(Level level) { threshold = level; }

void flushLog()
{
    if (uint64_t n = output().takeDropped())
        logEvent(Event::LogLinesDropped, { { "lines", std::to_string(n) } });
    output().flush();
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
    bool isImportant = info.level == Level::Warning || info.level == Level::Error;
    currentRank = isImportant ? LineRank::Important : isOutcome(event) ? LineRank::Outcome : LineRank::Detail;
    el::Logger* logger = el::Loggers::getLogger(std::string(toText(channelOf(event))));
    writeLine(logger, info.level, formatEvent(event, fields));
}

} // namespace Berylport
