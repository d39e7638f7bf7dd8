// Public header of Admission: admission control on the node that runs the target.
#pragma once

#include "Admission/AdmissionAction.h"
#include "Admission/AdmissionController.h"
#include "Admission/CallLedger.h"
