// Public header of Base: the types that every other module shares.
#pragma once

#include "Base/CallMessages.h"
#include "Base/ClockOffset.h"
#include "Base/ConfigurationDelta.h"
#include "Base/EvacuatedZones.h"
#include "Base/GossipMessages.h"
#include "Base/HttpMessage.h"
#include "Base/Identifiers.h"
#include "Base/Overloaded.h"
#include "Base/Random.h"
#include "Base/Result.h"
#include "Base/ServiceDefinition.h"
#include "Base/TargetRecord.h"
#include "Base/Time.h"
