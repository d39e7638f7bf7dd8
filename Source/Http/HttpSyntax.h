// Lexical rules of HTTP/1.1 (RFC 9110 and 9112) that parser, server and client share.
#pragma once

#include "Base/HttpMessage.h"

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace Berylport {

bool isToken(std::string_view);
// True for a value without control bytes other than tab, so it cannot end the header line.
bool isHeaderValue(std::string_view);
bool isValidHeader(const HttpHeader&);
// True for a target made of visible ASCII only, so it cannot end the request line.
bool isRequestTarget(std::string_view);
bool isKnownMethod(std::string_view);
// True for the methods whose requests must state a length.
bool needsLength(std::string_view method);

std::string_view trimSpace(std::string_view);
// Calls the function with each non-empty element of a comma-separated list.
void forEachElement(std::string_view list, const std::function<void(std::string_view)>&);
// True when the header occurs and one of its list elements equals the word, without regard to case.
bool hasElement(const std::vector<HttpHeader>&, std::string_view name, std::string_view word);

// Removes the hop-by-hop headers and those that Connection names.
void removeHopByHopHeaders(std::vector<HttpHeader>&);

std::string_view defaultReason(uint16_t status);

} // namespace Berylport
