// Command line and signal handling of the store stand-ins.
#pragma once

#include "StandIns/Common/StoreServer.h"

namespace Berylport {

// Runs the service until SIGTERM or SIGINT. Returns the exit status of the program.
int runStoreProgram(int argc, char** argv, const char* name, const char* summary, StoreService&);

} // namespace Berylport
