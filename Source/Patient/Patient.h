// Public header of Patient: actions that are accepted now and run later, exactly once.
#pragma once

#include "Patient/ActionAcceptor.h"
#include "Patient/ActionRecord.h"
#include "Patient/ActionRetention.h"
#include "Patient/ActionRunner.h"
#include "Patient/ActionStatus.h"
#include "Patient/PartitionAssignment.h"
