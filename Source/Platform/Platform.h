// Public header of Platform: clients of the platform's table service and object store, write tokens and leases.
#pragma once

#include "Platform/HttpClientOptions.h"
#include "Platform/HttpObjectClient.h"
#include "Platform/HttpTableClient.h"
#include "Platform/LeaseDriver.h"
#include "Platform/LeaseKeeper.h"
#include "Platform/ObjectClient.h"
#include "Platform/PlatformError.h"
#include "Platform/TableClient.h"
#include "Platform/WriteBudget.h"
#include "Platform/WriteResolver.h"
