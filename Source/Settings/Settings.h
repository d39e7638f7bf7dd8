// Public header of Settings.
#pragma once

#include "Settings/NodeSettings.h"
#include "Settings/SettingsFile.h"
#include "Settings/SettingsSchema.h"
