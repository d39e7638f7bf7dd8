// Guards against keys that open the wrong account, or any account after they were removed.
#include "Accounts/Accounts.h"

#include <gtest/gtest.h>

using namespace Berylport;

namespace {

const std::vector<ClientAccount>& twoAccounts()
{
    static const std::vector<ClientAccount> accounts {
        { .name = TenantName("north"), .keys = { "key-1", "key-2" }, .rank = 0 },
        { .name = TenantName("south"), .keys = { "key-3" } },
    };
    return accounts;
}

} // namespace

TEST(AccountTable, EachKeyOpensItsOwnAccount)
{
    AccountTable table(twoAccounts());
    ASSERT_TRUE(table.find("key-1"));
    EXPECT_EQ(table.find("key-1")->name.text, "north");
    EXPECT_EQ(table.find("key-2")->name.text, "north");
    EXPECT_EQ(table.find("key-2")->rank, 0u);
    ASSERT_TRUE(table.find("key-3"));
    EXPECT_EQ(table.find("key-3")->name.text, "south");
}

TEST(AccountTable, OtherKeysOpenNone)
{
    AccountTable table(twoAccounts());
    for (std::string_view it : { "", "key", "key-", "key-11", " key-1", "key-1 ", "KEY-1", "north" })
        EXPECT_FALSE(table.find(it)) << it;
    EXPECT_FALSE(table.find(std::string(100'000, 'k')));
    EXPECT_FALSE(AccountTable({}).find("key-1"));
}

// The table outlives the configuration document, and pages and logs show accounts.
TEST(AccountTable, KeepsNoKeyAsText)
{
    AccountTable table(twoAccounts());
    for (auto& it : table.accounts())
        EXPECT_TRUE(it.keys.empty());
}

// A key that moves to another account with a new version opens only that one.
TEST(AccountTable, AMovedKeyOpensItsNewAccount)
{
    auto accounts = twoAccounts();
    accounts[0].keys = { "key-1" };
    accounts[1].keys = { "key-2", "key-3" };
    EXPECT_EQ(AccountTable(accounts).find("key-2")->name.text, "south");
}
