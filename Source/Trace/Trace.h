// Public header of Trace.
#pragma once

#include "Trace/JsonTracer.h"
#include "Trace/TraceParent.h"
