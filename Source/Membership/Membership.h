// Public header of Membership: fleet membership by gossip.
#pragma once

#include "Membership/DiscoveryCandidates.h"
#include "Membership/FailureDetector.h"
#include "Membership/MemberTable.h"
#include "Membership/MembershipService.h"
#include "Membership/PartitionDetector.h"
#include "Membership/RecordQueue.h"
