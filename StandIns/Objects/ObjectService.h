// The object store behind the stand-in's HTTP server.
#pragma once

#include "StandIns/Common/StoreServer.h"
#include "StandIns/Objects/ObjectState.h"

namespace Berylport {

class ObjectService final : public StoreService {
public:
    bool isWrite(std::string_view path) const override;
    ServiceAnswer serve(Instant now, std::string_view path, const std::string& body) override;

private:
    ObjectState m_state;
};

} // namespace Berylport
