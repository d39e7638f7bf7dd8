// The table service behind the stand-in's HTTP server.
#pragma once

#include "StandIns/Common/StoreServer.h"
#include "StandIns/Table/TableState.h"

namespace Berylport {

class TableService final : public StoreService {
public:
    bool isWrite(std::string_view path) const override;
    ServiceAnswer serve(Instant now, std::string_view path, const std::string& body) override;

private:
    TableState m_state;
};

} // namespace Berylport
