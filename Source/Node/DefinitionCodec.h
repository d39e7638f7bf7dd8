// Service definitions as the text of table rows: JSON, so that operators of the store can read them.
#pragma once

#include "Base/Base.h"

#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

std::string encodeDefinition(const ServiceDefinition&);
// Nothing when the text is not a valid definition.
std::optional<ServiceDefinition> decodeDefinition(std::string_view json);

} // namespace Berylport
