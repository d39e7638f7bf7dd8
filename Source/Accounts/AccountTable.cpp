// Digests of keys.
#include "Accounts/AccountTable.h"

#include <cstring>
#include <sodium.h>

namespace Berylport {

namespace {

// Longer keys are unknown without being hashed, so that no caller can make a node hash a whole header section.
constexpr size_t maximumKeyBytes = 512;

using Secret = std::array<uint8_t, crypto_generichash_KEYBYTES>;

const Secret& processSecret()
{
    static const Secret secret = [] {
        Secret bytes;
        randombytes_buf(bytes.data(), bytes.size());
        return bytes;
    }();
    return secret;
}

} // namespace

AccountTable::AccountTable(std::span<const ClientAccount> accounts)
    : m_accounts(accounts.begin(), accounts.end())
{
    for (size_t n = 0; n < m_accounts.size(); ++n) {
        for (auto& it : m_accounts[n].keys)
            m_byKey.emplace(digestOf(it), n);
        m_accounts[n].keys.clear();
    }
}

const ClientAccount* AccountTable::find(std::string_view key) const
{
    if (key.empty() || key.size() > maximumKeyBytes)
        return nullptr;
    auto it = m_byKey.find(digestOf(key));
    return it == m_byKey.end() ? nullptr : &m_accounts[it->second];
}

AccountTable::Digest AccountTable::digestOf(std::string_view key)
{
    Digest digest;
    const Secret& secret = processSecret();
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(key.data()), key.size(),
        secret.data(), secret.size());
    return digest;
}

size_t AccountTable::DigestHash::operator()(const Digest& digest) const
{
    size_t n = 0;
    std::memcpy(&n, digest.data(), sizeof(n));
    return n;
}

bool AccountTable::DigestEqual::operator()(const Digest& a, const Digest& b) const
{
    return !sodium_memcmp(a.data(), b.data(), a.size());
}

} // namespace Berylport
