// Requests under which targets end: how they are recognized, and what is known about them.
#pragma once

#include "Suspects/RequestFingerprint.h"
#include "Suspects/SuspectTable.h"
