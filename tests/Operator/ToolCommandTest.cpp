// Guards the parsing of the tool's command line: a wrong argument must never become a request.
#include "Operator/Operator.h"

#include <gtest/gtest.h>
#include <sstream>

using namespace Berylport;
using namespace Berylport::Tool;
using namespace std::chrono_literals;

namespace {

ParsedArguments parseText(const std::string& text)
{
    std::istringstream stream(text);
    std::vector<std::string> words;
    for (std::string word; stream >> word;)
        words.push_back(word);
    return parseArguments(words);
}

CommandLine parseLine(const std::string& text)
{
    auto parsed = parseText(text);
    if (const auto* error = std::get_if<UsageError>(&parsed))
        ADD_FAILURE() << text << ": " << error->message;
    auto* line = std::get_if<CommandLine>(&parsed);
    return line ? *line : CommandLine {};
}

template <typename T> T parseAs(const std::string& text)
{
    auto line = parseLine(text);
    const auto* command = std::get_if<T>(&line.command);
    EXPECT_NE(command, nullptr) << text;
    return command ? *command : T {};
}

} // namespace

TEST(ToolCommandTest, GlobalOptionsHaveDefaults)
{
    auto line = parseLine("node status");
    EXPECT_EQ(line.node, (Endpoint { .address = "127.0.0.1", .port = 7082 }));
    EXPECT_FALSE(line.isJson);
    EXPECT_EQ(line.timeout, Duration(10s));
    EXPECT_FALSE(line.token);
}

TEST(ToolCommandTest, GlobalOptionsMayStandAnywhere)
{
    auto line = parseLine("--node [::1]:99 service --json list --timeout-ms 250");
    EXPECT_EQ(line.node, (Endpoint { .address = "::1", .port = 99 }));
    EXPECT_TRUE(line.isJson);
    EXPECT_EQ(line.timeout, Duration(250ms));
}

TEST(ToolCommandTest, EveryCommandHasItsOwnType)
{
    parseAs<ListServices>("service list");
    EXPECT_EQ(parseAs<ShowService>("service show slotdesk").name, ServiceName("slotdesk"));
    parseAs<ListTargets>("target list");
    parseAs<ListMembers>("member list");
    parseAs<ListZones>("zone list");
    EXPECT_EQ(parseAs<Tool::RetireZone>("zone retire galle-a").zone, ZoneName("galle-a"));
    parseAs<ShowStatus>("node status");
    parseAs<ShowMeasures>("node measures");
    EXPECT_EQ(parseAs<ShowAction>("action show a-1").token, "a-1");
    auto drain = parseAs<SetDrain>("target drain 00000000000000ab slotdesk");
    EXPECT_EQ(drain.node, NodeId { 0xab });
    EXPECT_EQ(drain.service, ServiceName("slotdesk"));
    EXPECT_TRUE(drain.isDrained);
    EXPECT_FALSE(parseAs<SetDrain>("target undrain 00000000000000ab slotdesk").isDrained);
}

TEST(ToolCommandTest, CreateTakesEveryField)
{
    auto definition = parseAs<CreateService>("service create slotdesk --kind idempotent --priority bulk "
                                             "--caller-wait-ms 750 --retry-tokens 3 --hedged --queue-limit 40")
                          .definition;
    ServiceDefinition expected;
    expected.name = ServiceName("slotdesk");
    expected.kind = RequestKind::Idempotent;
    expected.priority = Priority::Bulk;
    expected.callerWait = 750ms;
    expected.retryTokens = 3;
    expected.isHedged = true;
    expected.queueLimit = 40;
    EXPECT_EQ(definition, expected);
    EXPECT_TRUE(parseAs<CreateService>("service create x --kind patient --deduplicates").definition.deduplicates);
}

// A field that is not named must not be reset to its default.
TEST(ToolCommandTest, ChangeKeepsWhatIsNotNamed)
{
    auto command = parseAs<EditService>("service change slotdesk --version 7 --queue-limit 5 --hedged=false");
    EXPECT_EQ(command.version, 7u);
    EXPECT_EQ(command.edits, (DefinitionEdits { .isHedged = false, .queueLimit = 5 }));
    ServiceDefinition current;
    current.retryTokens = 8;
    current.isHedged = true;
    auto edited = applyEdits(current, command.edits);
    EXPECT_EQ(edited.retryTokens, 8u);
    EXPECT_EQ(edited.queueLimit, 5u);
    EXPECT_FALSE(edited.isHedged);
    EXPECT_FALSE(parseAs<DeleteService>("service remove slotdesk").version);
    EXPECT_EQ(parseAs<DeleteService>("service remove slotdesk --version 3").version, 3u);
}

TEST(ToolCommandTest, BadInputIsAUsageError)
{
    const char* lines[] = { "", "service", "service fly", "fly list", "service list extra", "service show",
        "service show Not/Valid", "service create x", "service create x --kind fast",
        "service create x --kind idempotent --priority urgent", "service create x --kind idempotent --queue-limit -1",
        "service create x --kind idempotent --queue-limit many",
        "service create x --kind idempotent --queue-limit 99999999999", "service create x --kind patient --hedged",
        "service create x --kind idempotent --deduplicates", "service create x --kind idempotent --caller-wait-ms 0",
        "service create x --kind idempotent --retry-tokens 9", "service create x --kind idempotent --version 1",
        "service change x", "service change x --version 2", "service change x --kind", "service list --kind idempotent",
        "service remove x --version none", "service remove x --token t", "target drain ab slotdesk",
        "target drain 0000000000000000 slotdesk", "target drain 00000000000000ab", "zone retire", "zone retire A",
        "node status --node localhost:7082", "node status --node 127.0.0.1", "node status --node 127.0.0.1:0",
        "node status --timeout-ms 0", "node status --timeout-ms 600001", "node status --wrong",
        "node status --token t" };
    for (const char* it : lines) {
        auto parsed = parseText(it);
        const auto* error = std::get_if<UsageError>(&parsed);
        ASSERT_NE(error, nullptr) << it;
        EXPECT_FALSE(error->message.empty()) << it;
        EXPECT_EQ(error->message.find('\n'), std::string::npos) << it;
    }
    EXPECT_TRUE(
        std::holds_alternative<UsageError>(parseArguments(std::vector<std::string> { "action", "show", "a b" })));
}

TEST(ToolCommandTest, EveryCommandHasHelpWithExitCodes)
{
    const char* lines[] = { "--help", "service --help", "service list --help", "service show --help",
        "service create --help", "service change --help", "service remove --help", "target list --help",
        "target drain --help", "target undrain --help", "member list --help", "zone list --help", "zone retire --help",
        "node status --help", "node measures --help", "action show --help" };
    for (const char* it : lines) {
        auto parsed = parseText(it);
        const auto* help = std::get_if<HelpText>(&parsed);
        ASSERT_NE(help, nullptr) << it;
        EXPECT_NE(help->text.find("Exit codes:"), std::string::npos) << it;
    }
}

TEST(ToolCommandTest, HelpShowsOnlyTheOptionsOfTheCommand)
{
    auto change = std::get<HelpText>(parseText("service change --help")).text;
    EXPECT_NE(change.find("--version N"), std::string::npos);
    EXPECT_NE(change.find("--queue-limit N"), std::string::npos);
    auto list = std::get<HelpText>(parseText("service list --help")).text;
    EXPECT_NE(list.find("--json"), std::string::npos);
    EXPECT_EQ(list.find("--queue-limit"), std::string::npos);
}
