// Public header of the Node library.
#pragma once

#include "Node/NodeDaemon.h"
