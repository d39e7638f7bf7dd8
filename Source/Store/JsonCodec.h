// Text form of the schema's messages. Includes Cap'n Proto's JSON codec, so only source files include it.
#pragma once

#include <capnp/compat/json.h>
#include <capnp/message.h>
#include <kj/exception.h>

#include <string>
#include <string_view>

namespace Berylport::Json {

template <typename T> const capnp::JsonCodec& codecOf()
{
    struct Holder {
        capnp::JsonCodec codec;
        Holder() { codec.handleByAnnotation<T>(); }
    };
    static const Holder holder;
    return holder.codec;
}

inline std::string toString(capnp::Text::Reader text) { return { text.begin(), text.size() }; }
inline std::string toString(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char*>(data.begin()), data.size() };
}
inline capnp::Data::Reader toData(std::string_view bytes)
{
    return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() };
}

// `fill(builder)` writes the message.
template <typename T, typename Fill> std::string encode(Fill&& fill)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<T>();
    fill(root);
    auto text = codecOf<T>().encode(root.asReader());
    return { text.begin(), text.size() };
}

// Calls `read(reader)` with the decoded message. False when the text is not a valid message.
template <typename T, typename Read> bool decode(std::string_view text, Read&& read)
{
    try {
        capnp::MallocMessageBuilder message;
        auto root = message.initRoot<T>();
        codecOf<T>().decode(kj::ArrayPtr<const char>(text.data(), text.size()), root);
        read(root.asReader());
        return true;
    } catch (const kj::Exception&) {
        return false;
    }
}

} // namespace Berylport::Json
