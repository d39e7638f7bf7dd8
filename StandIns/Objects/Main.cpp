// berylport-objects: stand-in for the platform's object store.
#include "StandIns/Common/StoreProgram.h"
#include "StandIns/Objects/ObjectService.h"

int main(int argc, char** argv)
{
    Berylport::ObjectService service;
    return Berylport::runStoreProgram(
        argc, argv, "berylport-objects", "In-memory stand-in for the platform's object store, with faults", service);
}
