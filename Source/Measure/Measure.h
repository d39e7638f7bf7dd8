// Public header of Measure: how much may be measured, and how far a measurement is believed.
#pragma once

#include "Measure/MeasureBudget.h"
#include "Measure/TargetProbe.h"
