// Public header of Http: the server for callers and the client for targets.
#pragma once

#include "Http/HttpServer.h"
#include "Http/MessageParser.h"
#include "Http/TargetClient.h"
