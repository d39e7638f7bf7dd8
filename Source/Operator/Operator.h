// Public header of Operator: the operators' RPC service, its client, and the command-line tool as a library.
#pragma once

#include "Operator/OperatorClient.h"
#include "Operator/OperatorServer.h"
#include "Operator/OperatorTypes.h"
#include "Operator/ToolCommand.h"
#include "Operator/ToolOutput.h"
#include "Operator/ToolRunner.h"
