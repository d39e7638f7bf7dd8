// Public header of Configuration.
#pragma once

#include "Configuration/ChangeTracker.h"
#include "Configuration/ConfigurationCoordinator.h"
#include "Configuration/ConfigurationStore.h"
#include "Configuration/ConfirmationGuard.h"
#include "Configuration/EvacuationTracker.h"
#include "Configuration/SourceFollower.h"
