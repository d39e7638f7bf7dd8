// Converts service definitions to and from JSON with Cap'n Proto's JSON codec.
#include "Node/DefinitionCodec.h"

#include "Peer/PeerCodec.h"

#include <capnp/compat/json.h>
#include <capnp/message.h>

namespace Berylport {

std::string encodeDefinition(const ServiceDefinition& definition)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<Schema::ServiceDefinition>();
    write(root, definition);
    capnp::JsonCodec codec;
    kj::String text = codec.encode(root.asReader());
    return { text.begin(), text.size() };
}

std::optional<ServiceDefinition> decodeDefinition(std::string_view json)
{
    try {
        capnp::MallocMessageBuilder message;
        auto root = message.initRoot<Schema::ServiceDefinition>();
        capnp::JsonCodec codec;
        codec.decode(kj::arrayPtr(json.data(), json.size()), root);
        auto definition = readServiceDefinition(root.asReader());
        if (!definition)
            return std::nullopt;
        return definition.value();
    } catch (const kj::Exception&) {
        return std::nullopt;
    }
}

} // namespace Berylport
