// Public header of Traffic: the operators' routes, and which service a request goes to.
#pragma once

#include "Traffic/NestedRouteDetector.h"
#include "Traffic/RetryWaitEstimator.h"
#include "Traffic/RouteFinder.h"
#include "Traffic/TrafficConfiguration.h"
#include "Traffic/TrafficSplit.h"
