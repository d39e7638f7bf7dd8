// Public header of Admission: the receiver side of a call beside its target.
#pragma once

#include "Admission/AdmissionAction.h"
#include "Admission/AdmissionController.h"
#include "Admission/CallLedger.h"
