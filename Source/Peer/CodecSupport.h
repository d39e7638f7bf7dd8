// Helpers shared by the Cap'n Proto codecs: validation while decoding and conversion of its failures to errors.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Result.h"
#include "Peer/PeerError.h"

#include <capnp/common.h>
#include <capnp/list.h>
#include <exception>
#include <kj/exception.h>
#include <stdexcept>
#include <string>

namespace Berylport::Codec {

// Thrown when a message fails validation; decode() converts it to PeerError::Malformed.
class Malformed : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

inline void require(bool condition, const char* what)
{
    if (!condition)
        throw Malformed(what);
}

// Runs a decoding function and converts its exceptions to errors. Cap'n Proto throws on invalid pointers.
template <typename T, typename Function> Result<T, PeerError> decode(Function&& function)
{
    try {
        return function();
    } catch (const std::exception&) {
        return PeerError::Malformed;
    } catch (const kj::Exception&) {
        return PeerError::Malformed;
    }
}

// The C++ and schema enums have the same order. A newer peer may send values that are unknown here.
template <typename Enum, typename Wire> Enum readEnum(Wire value, Enum last)
{
    auto n = static_cast<uint16_t>(value);
    require(n <= static_cast<uint16_t>(last), "unknown enum value");
    return static_cast<Enum>(n);
}

inline std::string readText(capnp::Text::Reader text, size_t maximumSize)
{
    require(text.size() <= maximumSize, "text too long");
    return std::string(text.begin(), text.size());
}

inline std::string readBytes(capnp::Data::Reader data, size_t maximumSize)
{
    require(data.size() <= maximumSize, "data too long");
    return std::string(reinterpret_cast<const char*>(data.begin()), data.size());
}

template <typename Tag> Name<Tag> readName(capnp::Text::Reader text)
{
    constexpr size_t maximumNameLength = 63;
    Name<Tag> name(readText(text, maximumNameLength));
    require(isValidName(name.text), "invalid name");
    return name;
}

inline capnp::Text::Reader textOf(const std::string& text) { return capnp::Text::Reader(text.c_str(), text.size()); }

inline capnp::Data::Reader bytesOf(const std::string& bytes)
{
    return capnp::Data::Reader(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size());
}

} // namespace Berylport::Codec
