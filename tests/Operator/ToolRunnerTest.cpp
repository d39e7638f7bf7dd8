// Guards the tool as a whole over a loopback socket: what it sends, its exit codes and its messages.
#include "Operator/OperatorTestSupport.h"

#include <sstream>

using namespace Berylport;
using Tool::ExitCode;

namespace {

class ToolRunnerTest : public testing::Test {
protected:
    ToolRunnerTest()
    {
        node.handler.services = { .configurationVersion = 9, .services = { createDefinition("slotdesk", 7) } };
        node.handler.changeReply.version = 10;
    }

    ExitCode run(const std::string& text, const std::string& timeout = "60000")
    {
        std::istringstream stream(text + " --timeout-ms " + timeout + " --node " + toText(node.endpoint));
        std::vector<std::string> words;
        for (std::string word; stream >> word;)
            words.push_back(word);
        std::ostringstream outStream;
        std::ostringstream errStream;
        ExitCode code = Tool::runTool(words, outStream, errStream);
        out = outStream.str();
        err = errStream.str();
        return code;
    }
    void failChange(OperatorErrorCode code) { node.handler.changeReply.error = { .code = code, .message = "reason" }; }
    bool errContains(const std::string& text) const { return err.find(text) != std::string::npos; }

    OperatorFixture node;
    std::string out;
    std::string err;
};

} // namespace

TEST_F(ToolRunnerTest, CreateExpectsNoEarlierVersion)
{
    EXPECT_EQ(run("service create new --kind patient --token t-1 --json"), ExitCode::Done);
    ASSERT_EQ(node.handler.changes.size(), 1u);
    EXPECT_EQ(node.handler.changes[0].expectedVersion, 0u);
    EXPECT_EQ(node.handler.changes[0].token, "t-1");
    EXPECT_EQ(out,
        R"({"service":"new","state":"accepted","version":10,"missingZones":[],"token":"t-1"})"
        "\n");
    EXPECT_TRUE(err.empty());
}

TEST_F(ToolRunnerTest, ChangeSendsTheVersionReadAndKeepsOtherFields)
{
    EXPECT_EQ(run("service change slotdesk --queue-limit 5"), ExitCode::Done);
    ASSERT_EQ(node.handler.changes.size(), 1u);
    auto expected = createDefinition("slotdesk", 7);
    expected.queueLimit = 5;
    EXPECT_EQ(std::get<PutService>(node.handler.changes[0].change).definition, expected);
    EXPECT_EQ(node.handler.changes[0].expectedVersion, 7u);
}

TEST_F(ToolRunnerTest, GivenVersionWins)
{
    EXPECT_EQ(run("service change slotdesk --queue-limit 5 --version 4"), ExitCode::Done);
    EXPECT_EQ(run("service remove gone --version 3 --token t"), ExitCode::Done);
    EXPECT_EQ(run("service remove slotdesk"), ExitCode::Done);
    ASSERT_EQ(node.handler.changes.size(), 3u);
    EXPECT_EQ(node.handler.changes[0].expectedVersion, 4u);
    EXPECT_EQ(node.handler.changes[1].expectedVersion, 3u);
    EXPECT_EQ(node.handler.changes[2].expectedVersion, 7u);
}

// Two changes with one token would be taken for one.
TEST_F(ToolRunnerTest, EachChangeHasItsOwnToken)
{
    run("service change slotdesk --queue-limit 5");
    run("service change slotdesk --queue-limit 5");
    ASSERT_EQ(node.handler.changes.size(), 2u);
    EXPECT_EQ(node.handler.changes[0].token.size(), 32u);
    EXPECT_NE(node.handler.changes[0].token, node.handler.changes[1].token);
}

TEST_F(ToolRunnerTest, EditThatBreaksARuleIsNotSent)
{
    EXPECT_EQ(run("service change slotdesk --kind at-most-once"), ExitCode::Usage);
    EXPECT_TRUE(errContains("only an idempotent service can be hedged"));
    EXPECT_TRUE(node.handler.changes.empty());
}

TEST_F(ToolRunnerTest, ErrorsOfAChangeHaveTheirExitCodes)
{
    const std::pair<OperatorErrorCode, ExitCode> cases[] = { { OperatorErrorCode::NotFound, ExitCode::NotFound },
        { OperatorErrorCode::AlreadyExists, ExitCode::Conflict }, { OperatorErrorCode::Conflict, ExitCode::Conflict },
        { OperatorErrorCode::Invalid, ExitCode::Usage }, { OperatorErrorCode::StoreUnavailable, ExitCode::Unavailable },
        { OperatorErrorCode::Unresolved, ExitCode::Unresolved },
        { OperatorErrorCode::Unreachable, ExitCode::Unavailable } };
    for (auto [code, expected] : cases) {
        failChange(code);
        EXPECT_EQ(run("service change slotdesk --queue-limit 5"), expected) << toText(code);
        EXPECT_TRUE(out.empty()) << toText(code);
        EXPECT_TRUE(errContains("reason")) << toText(code);
        EXPECT_EQ(std::count(err.begin(), err.end(), '\n'), 1) << toText(code);
    }
}

TEST_F(ToolRunnerTest, ConflictNamesTheVersionFound)
{
    failChange(OperatorErrorCode::Conflict);
    node.handler.changeReply.error.foundVersion = 8;
    EXPECT_EQ(run("service change slotdesk --queue-limit 5"), ExitCode::Conflict);
    EXPECT_TRUE(errContains("found version 8"));
}

TEST_F(ToolRunnerTest, PendingNamesTheZones)
{
    node.handler.changeReply.state = ServiceChangeState::Pending;
    node.handler.changeReply.missingZones = { ZoneName("galle-a"), ZoneName("kandy-a") };
    EXPECT_EQ(run("service change slotdesk --queue-limit 5"), ExitCode::Pending);
    EXPECT_TRUE(errContains("galle-a, kandy-a"));
}

// The change may have been written, so "unavailable" would be a false statement.
TEST_F(ToolRunnerTest, UnansweredChangeIsUnresolvedAndPrintsTheToken)
{
    failChange(OperatorErrorCode::Unresolved);
    EXPECT_EQ(run("service change slotdesk --queue-limit 5 --version 7 --token t-9"), ExitCode::Unresolved);
    EXPECT_TRUE(errContains("--token t-9 --version 7"));
    node.handler.mode = FakeOperatorHandler::Mode::Hold;
    EXPECT_EQ(run("service remove slotdesk --version 7 --token t-9", "100"), ExitCode::Unresolved);
    EXPECT_TRUE(errContains("--token t-9 --version 7"));
    node.handler.mode = FakeOperatorHandler::Mode::Drop;
    EXPECT_EQ(run("service create x --kind patient --token t-8"), ExitCode::Unresolved);
    EXPECT_TRUE(errContains("--token t-8"));
}

TEST_F(ToolRunnerTest, UnansweredListIsUnavailable)
{
    node.handler.mode = FakeOperatorHandler::Mode::Hold;
    EXPECT_EQ(run("service list", "100"), ExitCode::Unavailable);
    EXPECT_TRUE(errContains("did not answer in time"));
}

TEST_F(ToolRunnerTest, MissingServiceIsNotFound)
{
    EXPECT_EQ(run("service show other"), ExitCode::NotFound);
    EXPECT_EQ(run("service change other --queue-limit 5"), ExitCode::NotFound);
    EXPECT_EQ(run("service remove other"), ExitCode::NotFound);
    EXPECT_TRUE(node.handler.changes.empty());
}

TEST_F(ToolRunnerTest, ServicesAreListedAsTableAndJson)
{
    EXPECT_EQ(run("service list"), ExitCode::Done);
    EXPECT_EQ(out,
        "name      kind        priority  caller wait ms  retry tokens  hedged  queue limit  deduplicates  version\n"
        "slotdesk  idempotent  critical  750             3             yes     40           no            7\n");
    EXPECT_EQ(run("service show slotdesk --json"), ExitCode::Done);
    EXPECT_EQ(out,
        R"({"name":"slotdesk","kind":"idempotent","priority":"critical","callerWaitMs":750,"retryTokens":3,)"
        R"("hedged":true,"queueLimit":40,"deduplicates":false,"version":7})"
        "\n");
}

TEST_F(ToolRunnerTest, OtherCommandsReachTheirCalls)
{
    node.handler.nodeStatus.zone = ZoneName("kandy-a");
    node.handler.nodeStatus.region = RegionName("central");
    node.handler.nodeStatus.guard = "confirmed";
    node.handler.zones = { .headVersion = 9, .zones = { { ZoneName("kandy-a"), 8 } } };
    node.handler.rows = { { "calls", "", 2.5 } };
    node.handler.action
        = { .token = "a-1", .service = ServiceName("collectsvc"), .state = "done", .resultStatus = 201 };
    EXPECT_EQ(run("target list --json"), ExitCode::Done);
    EXPECT_EQ(out, "[]\n");
    EXPECT_EQ(run("member list"), ExitCode::Done);
    EXPECT_EQ(out, "node  zone  region  state  address  configuration version\n");
    EXPECT_EQ(run("zone list"), ExitCode::Done);
    EXPECT_EQ(out, "zone     confirmed version  head version\nkandy-a  8                  9\n");
    EXPECT_EQ(run("node measures"), ExitCode::Done);
    EXPECT_EQ(out, "name   label  value\ncalls  -      2.5\n");
    EXPECT_EQ(run("node status"), ExitCode::Done);
    EXPECT_NE(out.find("guard                  confirmed\n"), std::string::npos);
    EXPECT_EQ(run("action show a-1 --json"), ExitCode::Done);
    EXPECT_EQ(out, "{\"token\":\"a-1\",\"service\":\"collectsvc\",\"state\":\"done\",\"resultStatus\":201}\n");
    EXPECT_EQ(run("target drain 00000000000000ab slotdesk"), ExitCode::Done);
    EXPECT_EQ(run("target undrain 00000000000000ab slotdesk"), ExitCode::Done);
    EXPECT_EQ(run("zone retire galle-a"), ExitCode::Done);
    EXPECT_EQ(node.handler.drains.size(), 2u);
    EXPECT_EQ(node.handler.retired.size(), 1u);
}

TEST_F(ToolRunnerTest, ErrorsOfOtherCommandsHaveTheirExitCodes)
{
    node.handler.error = { .code = OperatorErrorCode::Unreachable, .message = "the node does not answer" };
    EXPECT_EQ(run("target drain 00000000000000ab slotdesk"), ExitCode::Unavailable);
    EXPECT_EQ(run("zone retire galle-a"), ExitCode::Unavailable);
    node.handler.action.error = { .code = OperatorErrorCode::NotFound, .message = "no such action" };
    EXPECT_EQ(run("action show a-1"), ExitCode::NotFound);
    node.handler.zones.error = { .code = OperatorErrorCode::StoreUnavailable, .message = "the store is down" };
    EXPECT_EQ(run("zone list"), ExitCode::Unavailable);
    EXPECT_EQ(err, "berylportctl: the store is down\n");
}

TEST_F(ToolRunnerTest, WrongUsageIsReportedOnStandardError)
{
    EXPECT_EQ(run("service fly"), ExitCode::Usage);
    EXPECT_TRUE(out.empty());
    EXPECT_TRUE(errContains("unknown command 'service fly'"));
}
