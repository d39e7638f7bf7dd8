// Public header of Node.
#pragma once

#include "Node/NodeDaemon.h"
