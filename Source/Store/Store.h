// Public header of Store: clients of the platform's table service and object store, write tokens and leases.
#pragma once

#include "Store/HttpClientOptions.h"
#include "Store/HttpObjectClient.h"
#include "Store/HttpTableClient.h"
#include "Store/LeaseDriver.h"
#include "Store/LeaseKeeper.h"
#include "Store/ObjectClient.h"
#include "Store/StoreError.h"
#include "Store/TableClient.h"
#include "Store/WriteBudget.h"
#include "Store/WriteResolver.h"
