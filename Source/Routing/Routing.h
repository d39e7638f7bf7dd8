// Public header of Routing: choice of a target for each attempt.
#pragma once

#include "Routing/LatencyEstimate.h"
#include "Routing/RoutingOptions.h"
#include "Routing/TargetSelector.h"
