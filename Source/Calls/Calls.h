// Public header of Calls: the client side of every call that enters at this node.
#pragma once

#include "Calls/CallActions.h"
#include "Calls/CallBudget.h"
#include "Calls/CallCoordinator.h"
#include "Calls/CallOptions.h"
#include "Calls/ServiceTable.h"
