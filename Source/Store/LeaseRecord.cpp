// JSON form of a lease row.
#include "Store/LeaseRecord.h"

#include "Store.capnp.h"
#include "Store/JsonCodec.h"

namespace Berylport {

std::string encodeLeaseRecord(const LeaseRecord& record)
{
    return Json::encode<StoreSchema::LeaseRecord>([&](auto out) {
        out.setHolder(record.holder.value);
        out.setFencingToken(record.fencingToken);
        out.setDurationUs(record.duration.count());
    });
}

std::optional<LeaseRecord> decodeLeaseRecord(std::string_view text)
{
    LeaseRecord record;
    bool isValid = Json::decode<StoreSchema::LeaseRecord>(text, [&](auto in) {
        record = { .holder = NodeId { in.getHolder() },
            .fencingToken = in.getFencingToken(),
            .duration = Duration(in.getDurationUs()) };
    });
    if (!isValid || record.duration <= Duration::zero() || !record.fencingToken)
        return std::nullopt;
    return record;
}

std::string leaseKey(std::string_view name) { return "lease/" + std::string(name); }
std::string fenceKey(std::string_view name) { return "fence/" + std::string(name); }

} // namespace Berylport
