// Public header of Accounts: who a caller is, by its key.
#pragma once

#include "Accounts/AccountTable.h"
