// berylportd: the node daemon. One runs on every target VM.
#include "Log/Log.h"
#include "Node/Node.h"
#include "Settings/Settings.h"

#include <cxxopts.hpp>
#include <iostream>

using namespace Berylport;

namespace {

constexpr int exitUsage = 2;

cxxopts::Options makeOptions()
{
    cxxopts::Options options(
        "berylportd", "Berylport node: admits and runs calls for the targets on this VM and sends calls to others.");
    options.add_options()("settings", "settings file (docs/settings.md)", cxxopts::value<std::string>())(
        "check", "check the settings file and exit")("help", "show this help");
    return options;
}

int report(const SettingsErrors& errors)
{
    for (auto& it : errors)
        std::cerr << "berylportd: " << toText(it) << '\n';
    return exitUsage;
}

int run(const cxxopts::ParseResult& arguments)
{
    if (!arguments.count("settings")) {
        std::cerr << "berylportd: --settings FILE is required; see --help\n";
        return exitUsage;
    }
    auto settings = readSettingsFile(arguments["settings"].as<std::string>());
    if (!settings)
        return report(settings.error());
    if (arguments.count("check")) {
        std::cout << "settings are valid\n";
        return 0;
    }
    startLog(
        { .level = parseLevel(settings.value().log.level).value_or(Level::Info), .file = settings.value().log.file });
    return static_cast<int>(runNode(settings.value()));
}

} // namespace

int main(int argc, char** argv)
{
    auto options = makeOptions();
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help() << '\n';
            return 0;
        }
        return run(arguments);
    } catch (const std::exception& ex) {
        std::cerr << "berylportd: " << ex.what() << '\n';
        return exitUsage;
    }
}
