// Public header of Loop: the event loop and what is built on it. SocketStream.h is not included, as KJ is heavy.
#pragma once

#include "Loop/EventLoop.h"
#include "Loop/FdWatcher.h"
#include "Loop/Mailbox.h"
#include "Loop/PauseDetector.h"
#include "Loop/SignalWatcher.h"
#include "Loop/Supervisor.h"
#include "Loop/Task.h"
#include "Loop/Timer.h"
