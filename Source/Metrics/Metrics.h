// Public header of Metrics.
#pragma once

#include "Metrics/LatencyDistribution.h"
#include "Metrics/MetricRegistry.h"
