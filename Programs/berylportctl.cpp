// The operators' command-line client.
#include "Operator/Operator.h"

#include <csignal>
#include <iostream>

int main(int argc, char** argv)
{
    // A node that closes the connection must be reported as an error and must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(Berylport::Tool::runTool(arguments, std::cout, std::cerr));
}
