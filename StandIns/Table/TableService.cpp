// Paths of the table service.
#include "StandIns/Table/TableService.h"

#include "StandIns/Common/ServiceAnswers.h"

namespace Berylport {

bool TableService::isWrite(std::string_view path) const { return path == StorePath::tableTransact; }

ServiceAnswer TableService::serve(Instant now, std::string_view path, const std::string& body)
{
    if (path == StorePath::tableGet) {
        if (auto key = decodeKey(body))
            return toAnswer(m_state.get(*key), encodeRow);
    } else if (path == StorePath::tableScan) {
        if (auto request = decodeScan(body))
            return toAnswer(m_state.scan(request->prefix, request->limit, request->after), encodeScanPage);
    } else if (path == StorePath::tableTransact) {
        if (auto transaction = decodeTransaction(body))
            return toAnswer(m_state.transact(now, *transaction, counters), encodeTransactionResult);
    }
    return malformedAnswer(counters);
}

} // namespace Berylport
