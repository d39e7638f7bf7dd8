// Encodes service definitions as the JSON values of table rows; JSON, so that the operators of the store can read them.
#pragma once

#include "Base/Base.h"

#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

std::string encodeDefinition(const ServiceDefinition&);
// Returns nothing if the text is not a valid definition.
std::optional<ServiceDefinition> decodeDefinition(std::string_view json);

} // namespace Berylport
