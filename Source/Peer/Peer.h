// Public header of Peer: links between nodes and gossip datagrams.
#pragma once

#include "Peer/GossipSocket.h"
#include "Peer/PeerError.h"
#include "Peer/PeerLink.h"
#include "Peer/PeerLinkPool.h"
#include "Peer/PeerServer.h"
