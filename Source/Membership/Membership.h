// Public header of Membership: who is in the fleet, by gossip.
#pragma once

#include "Membership/ContactCheck.h"
#include "Membership/FailureDetector.h"
#include "Membership/LostPeers.h"
#include "Membership/MemberTable.h"
#include "Membership/MembershipService.h"
#include "Membership/RecordQueue.h"
