// The platform's object store: immutable objects by name.
#pragma once

#include "Store/StoreError.h"

#include <string>

namespace Berylport {

constexpr size_t maxObjectBytes = 4 * 1024 * 1024;

class ObjectClient {
public:
    virtual ~ObjectClient() = default;
    // The same bytes may be put again; other bytes under a used name are a conflict.
    virtual void put(std::string name, std::string bytes, Completion<Done>) = 0;
    virtual void get(std::string name, Completion<std::string>) = 0;
    virtual void remove(std::string name, Completion<Done>) = 0;
};

} // namespace Berylport
