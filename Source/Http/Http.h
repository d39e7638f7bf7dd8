// Public header of Http: the server for callers.
#pragma once

#include "Http/HttpServer.h"
#include "Http/MessageParser.h"
