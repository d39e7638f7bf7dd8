// Public header of Routing: load balancing, the selection of a target for each attempt.
#pragma once

#include "Routing/LatencyEstimate.h"
#include "Routing/RoutingOptions.h"
#include "Routing/TargetSelector.h"
