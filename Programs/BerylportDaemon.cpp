// berylportd: the node daemon. One runs on every target VM.
#include "Node/Node.h"

int main(int argc, char** argv)
{
    return Berylport::runNodeProgram(argc, argv,
        { .name = "berylportd",
            .purpose = "Berylport node: admits and runs calls for the targets on this VM and sends calls to others.",
            .adapter = Berylport::makeNativeAdapter() });
}
