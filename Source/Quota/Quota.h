// Public header of Quota: limits on the requests of client accounts that hold across all nodes.
#pragma once

#include "Quota/QuotaLimiter.h"
