// Paths of the object store.
#include "StandIns/Objects/ObjectService.h"

#include "StandIns/Common/ServiceAnswers.h"

namespace Berylport {

bool ObjectService::isWrite(std::string_view path) const { return path != StorePath::objectGet; }

ServiceAnswer ObjectService::serve(Instant, std::string_view path, const std::string& body)
{
    auto done = [](const Done&) { return encodeDone(); };
    if (path == StorePath::objectPut) {
        if (auto request = decodeObjectPut(body))
            return toAnswer(m_state.put(request->name, request->bytes, counters), done);
    } else if (path == StorePath::objectGet) {
        if (auto name = decodeKey(body))
            return toAnswer(m_state.get(*name), encodeObjectBytes);
    } else if (path == StorePath::objectRemove) {
        if (auto name = decodeKey(body))
            return toAnswer(m_state.remove(*name, counters), done);
    }
    return malformedAnswer(counters);
}

} // namespace Berylport
