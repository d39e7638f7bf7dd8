// Hashes requests with the name generator of Boost, which is SHA-1 shortened to 122 bits.
#include "Suspects/RequestFingerprint.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid.hpp>

#include <algorithm>

namespace Berylport {

namespace {

RequestFingerprint::Part hashBytes(std::string_view bytes)
{
    boost::uuids::name_generator_sha1 generator(boost::uuids::uuid {});
    boost::uuids::uuid hash = generator(bytes.data(), bytes.size());
    RequestFingerprint::Part part;
    std::copy_n(hash.begin(), part.size(), part.begin());
    return part;
}

// Each text is preceded by its length, so that no two lists of texts give the same bytes.
void append(std::string& bytes, std::string_view text)
{
    bytes.append(std::to_string(text.size())).append(":").append(text);
}

constexpr std::string_view digits = "0123456789abcdef";

void appendHex(std::string& text, const RequestFingerprint::Part& part)
{
    for (uint8_t it : part) {
        text += digits[it >> 4];
        text += digits[it & 15];
    }
}

bool parsePart(std::string_view text, RequestFingerprint::Part& part)
{
    for (size_t n = 0; n < part.size(); ++n) {
        auto high = digits.find(text[2 * n]);
        auto low = digits.find(text[2 * n + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return false;
        part[n] = static_cast<uint8_t>(high << 4 | low);
    }
    return true;
}

} // namespace

RequestFingerprint::Part hashHead(const RequestScope& scope, const HttpRequest& request)
{
    std::string bytes;
    append(bytes, scope.origin);
    append(bytes, scope.account);
    append(bytes, request.method);
    append(bytes, scope.destination);
    append(bytes, request.target);
    bytes += std::to_string(request.body.size());
    return hashBytes(bytes);
}

RequestFingerprint hashRequest(const RequestScope& scope, const HttpRequest& request)
{
    return { .head = hashHead(scope, request), .body = hashBytes(request.body) };
}

std::string toText(const RequestFingerprint& fingerprint)
{
    std::string text;
    appendHex(text, fingerprint.head);
    appendHex(text, fingerprint.body);
    return text;
}

std::optional<RequestFingerprint> parseFingerprint(std::string_view text)
{
    RequestFingerprint fingerprint;
    size_t length = 2 * fingerprint.head.size();
    if (text.size() != 2 * length || !parsePart(text.substr(0, length), fingerprint.head)
        || !parsePart(text.substr(length), fingerprint.body))
        return std::nullopt;
    return fingerprint;
}

} // namespace Berylport
