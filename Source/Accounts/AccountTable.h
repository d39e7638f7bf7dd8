// Finds the client account that holds a key. Immutable once built; a newer configuration replaces it whole, so a key
// that was removed is unknown as soon as the node has the configuration.
//
// Keys are held and looked up as digests under a secret of this process. The time of a lookup tells a caller nothing of
// how much of a key it has guessed.
#pragma once

#include "Traffic/Traffic.h"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Berylport {

class AccountTable {
public:
    explicit AccountTable(std::span<const ClientAccount>);

    // Null for an unknown key. Valid as long as the table.
    const ClientAccount* find(std::string_view key) const;
    // Keys are left out.
    const std::vector<ClientAccount>& accounts() const { return m_accounts; }

private:
    using Digest = std::array<uint8_t, 32>;
    // The first bytes of a digest are as good a hash as any.
    struct DigestHash {
        size_t operator()(const Digest&) const;
    };
    struct DigestEqual {
        bool operator()(const Digest&, const Digest&) const;
    };

    static Digest digestOf(std::string_view key);

    std::vector<ClientAccount> m_accounts;
    // Position in m_accounts.
    std::unordered_map<Digest, size_t, DigestHash, DigestEqual> m_byKey;
};

} // namespace Berylport
