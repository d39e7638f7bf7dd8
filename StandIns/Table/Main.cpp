// berylport-table: stand-in for the platform's table service.
#include "StandIns/Common/StoreProgram.h"
#include "StandIns/Table/TableService.h"

int main(int argc, char** argv)
{
    Berylport::TableService service;
    return Berylport::runStoreProgram(
        argc, argv, "berylport-table", "In-memory stand-in for the platform's table service, with faults", service);
}
