// Guards against messages of the platform that are misread: what may run twice, whose answer it is, which server lives.
#include "platform/ConfigurationDocument.h"
#include "platform/PlatformDialect.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace Berylport::Wire;
using namespace std::chrono_literals;

namespace {

const PlatformDialect dialect;

HttpRequest makeRequest(std::vector<HttpHeader> headers)
{
    return { .method = "GET", .target = "/a/", .headers = std::move(headers) };
}

HttpRequest makeBeat(const std::string& body, const std::string& id = "i-1")
{
    return { .method = "POST", .target = "/-/rpc?call=instances.heartbeat&of=" + id, .headers = {}, .body = body };
}

std::string beatBody(const std::string& extra = {}, const std::string& state = "ready")
{
    return R"({"address":"10.1.0.9:8080","info":{"service":"huvo11a","version":"v1","zone":"a","slots":9},)"
           R"("status":{"state":")"
        + state + R"(","sequence":4,"cold-left-s":1.5})" + extra + "}";
}

template <typename T> bool is(const TargetMessageRead& read) { return std::holds_alternative<T>(read); }

std::string configuration(const std::string& route)
{
    return R"({"version":7,"routes":{"columns":["name","host","prefix","kind","timeout-s","target-latency-s",)"
           R"("priority","service","max-attempts","traffic-split"],"rows":[)"
        + route
        + R"(]},"services":{"columns":["name","health-path","max-connections","protocol","tls"],)"
          R"("rows":[["huvo11a","/well",240,"h1",false]]},"limits":{"max-header-bytes":8192,"max-body-bytes":1000,)"
          R"("header-timeout-s":3,"idle-timeout-s":1.5},"base-version":5})";
}

} // namespace

TEST(PlatformDialect, CallersNameTheirRequestAndTheirPatience)
{
    auto caller = dialect.readCaller(makeRequest({ { "X-Request-Id", "ab" }, { "X-Deadline-Ms", "1200" } })).value();
    EXPECT_EQ(caller.requestId, "ab");
    EXPECT_EQ(caller.timeout, 1200ms);
    EXPECT_EQ(caller.service, std::nullopt);
    EXPECT_EQ(dialect.readCaller(makeRequest({})).value().timeout, std::nullopt);
    EXPECT_EQ(dialect.readCaller(makeRequest({ { "X-Deadline-Ms", "soon" } })).error(), EntryRefusal::InvalidTimeout);
}

// A caller must not speak for its VM, nor choose the server.
TEST(PlatformDialect, ForwardedRequestsSayWhereTheyCameFrom)
{
    auto request = makeRequest({ { "X-Caller-Service", "forged" }, { "X-Target-Instance", "i-9" }, { "X-Own", "1" },
        { "X-Request-Id", "ab" }, { "X-Deadline-Ms", "1200" } });
    dialect.prepareForward(request, "lepu");
    EXPECT_EQ(findHeader(request.headers, "X-Caller-Service"), "lepu");
    EXPECT_EQ(findHeader(request.headers, "X-Target-Instance"), std::nullopt);
    EXPECT_EQ(findHeader(request.headers, "X-Own"), "1");
    dialect.prepareForTarget(request, { .call = {}, .remaining = 731ms, .instance = "i-1" });
    EXPECT_EQ(findHeader(request.headers, "X-Deadline-Ms"), "731");
    EXPECT_EQ(findHeader(request.headers, "X-Target-Instance"), "i-1");
    EXPECT_EQ(findHeader(request.headers, "X-Request-Id"), "ab");
}

TEST(PlatformDialect, OnlyAnExplicitStatementMeansNotRun)
{
    EXPECT_FALSE(dialect.readTargetAnswer({ .status = 503 }).hasNotRun);
    EXPECT_FALSE(dialect.readTargetAnswer({ .status = 500 }).hasNotRun);
    EXPECT_TRUE(dialect.readTargetAnswer({ .status = 503, .headers = { { "X-Not-Executed", "1" } } }).hasNotRun);
    EXPECT_TRUE(dialect.readTargetAnswer({ .status = 421 }).hasNotRun);
}

TEST(PlatformDialect, LoadHasThreeOrFourFigures)
{
    auto loadOf = [](std::string text) {
        return dialect.readTargetAnswer({ .status = 200, .headers = { { "X-Server-Load", text } } }).load;
    };
    EXPECT_EQ(loadOf("3,1,8"), (ReportedLoad { .running = 3, .waiting = 1, .slots = 8 }));
    EXPECT_EQ(loadOf("3,1,8,400"), (ReportedLoad { .running = 3, .waiting = 1, .slots = 8, .slownessPercent = 400 }));
    for (auto* text : { "", "3", "3,1", "3,x,8", "3,-1,8", "3,1,99999999" })
        EXPECT_EQ(loadOf(text), std::nullopt) << text;
}

TEST(PlatformDialect, ARequestLimitIsADecimalNumber)
{
    auto read = [](const std::string& text, uint16_t status = 200) {
        return dialect.readTargetAnswer({ .status = status, .headers = { { "Server-Limit", text } } });
    };
    EXPECT_EQ(read("5.7").requestLimit, 5.7);
    EXPECT_EQ(read("12", 503).requestLimit, 12.0);
    EXPECT_EQ(read("0").requestLimit, 0.0);
    for (auto* text : { "", "x", "-1", "nan", "inf", "1e3", "5.7 a second", "0x10" }) {
        EXPECT_EQ(read(text).requestLimit, std::nullopt) << text;
        EXPECT_TRUE(read(text).isRequestLimitMalformed) << text;
    }
    EXPECT_FALSE(dialect.readTargetAnswer({ .status = 200 }).isRequestLimitMalformed);
}

TEST(PlatformDialect, ALeavingServerSaysSoInItsAnswers)
{
    auto isLeaving = [](std::vector<HttpHeader> headers, uint16_t status = 200) {
        return dialect.readTargetAnswer({ .status = status, .headers = std::move(headers) }).isLeaving;
    };
    EXPECT_TRUE(isLeaving({ { "Server-Leaving", "1" } }));
    EXPECT_TRUE(isLeaving({ { "server-leaving", "1" } }, 503));
    EXPECT_FALSE(isLeaving({ { "Server-Leaving", "0" } }));
    EXPECT_FALSE(isLeaving({}));
}

// The limit and the leaving of a server that took over the address are not those of the one that was meant.
TEST(PlatformDialect, AnotherServersAnswerSaysNothingAboutTheOneMeant)
{
    auto report = dialect.readTargetAnswer(
        { .status = 421, .headers = { { "Server-Limit", "2" }, { "Server-Leaving", "1" } } });
    EXPECT_EQ(report.requestLimit, std::nullopt);
    EXPECT_FALSE(report.isLeaving);
    EXPECT_EQ(dialect.readTargetAnswer({ .status = 200, .headers = { { "X-Instance-Id", "i-9" } } }).instance, "i-9");
}

TEST(PlatformDialect, RetryAfterKeepsFractions)
{
    HttpResponse response { .status = 503 };
    dialect.setRetryAfter(response, 137ms);
    EXPECT_EQ(findHeader(response.headers, "Retry-After"), "0.137");
}

TEST(PlatformDialect, HeartbeatsNameAStart)
{
    auto read = dialect.readTargetMessage(makeBeat(beatBody(R"(,"born":1700000000123)")));
    auto& announcement = std::get<TargetAnnouncement>(read);
    EXPECT_EQ(announcement.service, ServiceName("huvo11a"));
    EXPECT_EQ(toText(announcement.endpoint), "10.1.0.9:8080");
    EXPECT_EQ(announcement.slots, 9);
    EXPECT_EQ(announcement.sequence, 4u);
    EXPECT_EQ(announcement.startedAtMilliseconds, 1700000000123u);
    EXPECT_EQ(announcement.coldFor, 1500ms);
    EXPECT_EQ(std::get<TargetAnnouncement>(dialect.readTargetMessage(makeBeat(beatBody({}, "draining")))).state,
        TargetState::Draining);
    HttpRequest leave { .method = "POST", .target = "/-/rpc?call=instances.deregister&of=i-1" };
    EXPECT_EQ(std::get<TargetWithdrawal>(dialect.readTargetMessage(leave)).instance, "i-1");
}

// Another writer's entries name no server to use.
TEST(PlatformDialect, ForeignHeartbeatsAreNoAnnouncements)
{
    std::vector<std::string> bodies { "", "[]", "{}", "\x01\xff", beatBody(R"(,"born":1.5)"),
        beatBody(R"(,"born":"x")"), beatBody({}, "resting"),
        R"({"address":"10.1.0.9:8080","info":{"service":"huvo11a","slots":9}})",
        R"({"address":7,"info":{"service":"huvo11a","slots":9},"status":{"state":"ready","sequence":4}})",
        R"({"address":"10.1.0.9:8080","info":{"service":"huvo11a","slots":"9"},"status":{"state":"ready","sequence":4}})",
        R"({"address":"10.1.0.9:8080","info":{"service":5,"slots":9},"status":{"state":"ready","sequence":4}})" };
    for (auto& it : bodies)
        EXPECT_TRUE(is<AnnouncementError>(dialect.readTargetMessage(makeBeat(it)))) << it;
    EXPECT_TRUE(is<AnnouncementError>(dialect.readTargetMessage(makeBeat(beatBody(), ""))));
    EXPECT_TRUE(is<UnrelatedMessage>(dialect.readTargetMessage({ .method = "POST", .target = "/announce" })));
}

// One odd entry of another writer must neither end the process nor name a server.
TEST(PlatformDialect, DeeplyNestedOrOutOfRangeEntriesAreNoAnnouncements)
{
    std::string nested(200'000, '[');
    std::string closed = nested + std::string(nested.size(), ']');
    std::string objects;
    for (int n = 0; n < 100'000; ++n)
        objects += "{\"a\":";
    std::vector<std::string> bodies { nested, closed, objects, beatBody(",\"extra\":" + closed),
        beatBody(R"(,"born":1e999)"), beatBody(R"(,"born":99999999999999999999)"),
        beatBody(",\"born\":" + std::string(100'000, '9')) };
    for (auto* address : { "10.1.0.9:70000", "10.1.0.9:0", "10.1.0.9:-1", "10.1.0.9:99999999999999999999",
             "10.1.0.9:", "10.1.0.9", "10.1.0.9:8080x" }) {
        bodies.push_back(std::string(R"({"address":")") + address
            + R"(","info":{"service":"huvo11a","slots":9},"status":{"state":"ready","sequence":4}})");
    }
    for (auto* slots : { "1e999", "-1e999", "1e300", "18446744073709551616", "0", "1.5" }) {
        bodies.push_back(std::string(R"({"address":"10.1.0.9:8080","info":{"service":"huvo11a","slots":)") + slots
            + R"(},"status":{"state":"ready","sequence":4}})");
    }
    for (auto& it : bodies)
        EXPECT_TRUE(is<AnnouncementError>(dialect.readTargetMessage(makeBeat(it)))) << it.substr(0, 200);
}

TEST(ConfigurationDocument, DeeplyNestedOrOutOfRangeDocumentsAreRefused)
{
    std::string nested(200'000, '[');
    EXPECT_FALSE(decodeConfiguration(nested));
    EXPECT_FALSE(decodeConfiguration(configuration(nested + std::string(nested.size(), ']'))));
    for (auto* seconds : { "1e999", "1e300", "1e13", "-1" }) {
        EXPECT_FALSE(decodeConfiguration(
            configuration(std::string(R"(["r-1","h","/a/","idempotent",)") + seconds + R"(,0.5,2,"huvo11a",3,null])")))
            << seconds;
    }
}

TEST(ConfigurationDocument, RoutesSplitsAndLimitsAreRead)
{
    auto read = decodeConfiguration(configuration(
        R"(["r-1","Jepu9.example","/a/","idempotent",1.25,0.5,2,null,3,[{"service":"huvo11a","weight":90},)"
        R"({"service":"kafi81c","weight":10}]],["r-2","h","/","non_idempotent",1,0.3,0,"huvo11a",1,null])"));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->version, 7u);
    const TrafficRoute& split = read->routes.at(0);
    EXPECT_EQ(split.host, "jepu9.example");
    EXPECT_EQ(split.kind, RequestKind::Idempotent);
    EXPECT_EQ(split.timeout, 1250ms);
    EXPECT_EQ(split.latencyObjective, 500ms);
    EXPECT_EQ(split.maximumAttempts, 3u);
    EXPECT_EQ(split.rank, 2u);
    EXPECT_EQ(split.destinations.at(1), (RouteDestination { .service = ServiceName("kafi81c"), .weight = 10 }));
    EXPECT_EQ(read->routes.at(1).kind, RequestKind::AtMostOnce);
    EXPECT_EQ(read->services.at(0).healthPath, "/well");
    EXPECT_EQ(read->limits.idleTimeout, 1500ms);
}

// A kind that is not known to be repeatable must not run twice.
TEST(ConfigurationDocument, AnUnknownKindRunsAtMostOnce)
{
    auto read = decodeConfiguration(configuration(R"(["r-1","h","/a/","keyed",1,0.5,2,"huvo11a",3,null])"));
    EXPECT_EQ(read->routes.at(0).kind, RequestKind::AtMostOnce);
}

// Half a configuration would be taken for the removal of what is missing.
TEST(ConfigurationDocument, AnythingUnreadableIsRefusedAsAWhole)
{
    for (auto* route : { R"(["r-1"])", R"([5,"h","/a/","idempotent",1,0.5,2,"huvo11a",3,null])",
             R"(["r-1","h","/a/","idempotent","soon",0.5,2,"huvo11a",3,null])",
             R"(["r-1","h","/a/","idempotent",1,0.5,2,null,3,[]])" })
        EXPECT_FALSE(decodeConfiguration(configuration(route))) << route;
    EXPECT_FALSE(decodeConfiguration("{}"));
    EXPECT_FALSE(decodeConfiguration("{\"version\":1.5}"));
    EXPECT_FALSE(decodeConfiguration("{\"version\":7,"));
}

// A key that reached a target could be used by it, and an account that a caller names itself would be believed.
TEST(PlatformDialect, TheTargetHearsTheAccountAndNotTheKey)
{
    auto request = makeRequest({ { "Authorization", "Bearer key-1" }, { "X-Tenant-Id", "forged" }, { "X-Own", "1" } });
    EXPECT_EQ(dialect.readKey(request), "key-1");
    dialect.setAccount(request, "north");
    EXPECT_EQ(findHeader(request.headers, "Authorization"), std::nullopt);
    EXPECT_EQ(findHeader(request.headers, "X-Tenant-Id"), "north");
    EXPECT_EQ(findHeader(request.headers, "X-Own"), "1");
    dialect.setAccount(request, {});
    EXPECT_EQ(findHeader(request.headers, "X-Tenant-Id"), std::nullopt);
}

TEST(PlatformDialect, OnlyABearerKeyIsAKey)
{
    auto keyOf = [](std::string value) {
        auto request = makeRequest({ { "Authorization", std::move(value) } });
        return std::string(dialect.readKey(request).value_or("none"));
    };
    EXPECT_EQ(keyOf("bearer key-1"), "key-1");
    EXPECT_EQ(keyOf("BEARER   key-1"), "key-1");
    for (auto* it : { "", "Bearer", "Bearer ", "Basic key-1", "Bearerkey-1", "key-1" })
        EXPECT_EQ(keyOf(it), "none") << it;
    EXPECT_EQ(dialect.readKey(makeRequest({})), std::nullopt);
}

namespace {

std::string withAccounts(const std::string& rows)
{
    std::string text = configuration(R"(["r-1","h","/a/","download",1,0.5,2,"huvo11a",3,null])");
    text.pop_back();
    return text + R"(,"tenants":{"columns":["name","api-keys","priority","rate-per-s","burst"],"rows":[)" + rows
        + "]}}";
}

} // namespace

// Callers of a configuration without accounts must not be asked for a key, and those of one with an empty list must be.
TEST(ConfigurationDocument, AccountsWithTheirKeysAndLimits)
{
    EXPECT_FALSE(decodeConfiguration(configuration(R"(["r-1","h","/a/","download",1,0.5,2,"huvo11a",3,null])"))
                     ->accounts.has_value());
    auto read
        = decodeConfiguration(withAccounts(R"(["north",["k1","k2"],1,254,10.5],["south",["k3"],null,null,null])"));
    ASSERT_TRUE(read && read->accounts);
    EXPECT_EQ(read->routes[0].kind, RequestKind::Idempotent);
    EXPECT_EQ(*read->accounts,
        (std::vector<ClientAccount> {
            { .name = TenantName("north"), .keys = { "k1", "k2" }, .rank = 1, .requestsPerSecond = 254, .burst = 10.5 },
            { .name = TenantName("south"), .keys = { "k3" } },
        }));
    auto empty = decodeConfiguration(withAccounts(""));
    ASSERT_TRUE(empty && empty->accounts);
    EXPECT_TRUE(empty->accounts->empty());
    EXPECT_FALSE(decodeConfiguration(withAccounts(R"(["two words",["k"],1,1,1])")));
    EXPECT_FALSE(decodeConfiguration(withAccounts(R"([null,["k"],1,1,1])")));
}

// Without the bound a target that comes back cold would be sent what it gets warm.
TEST(ConfigurationDocument, ServicesMayNameABoundForColdTargets)
{
    auto text = [](const std::string& columns, const std::string& values) {
        return R"({"version":7,"routes":{"columns":[],"rows":[]},"services":{"columns":["name")" + columns
            + R"(],"rows":[["huvo11a")" + values + "]]}}";
    };
    auto read = decodeConfiguration(text(R"(,"cold-start-s","cold-per-s")", ",3.0,17.0"));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->services[0].coldRequestsPerSecond, 17.0);
    EXPECT_EQ(read->services[0].coldTime, 3s);
    EXPECT_EQ(decodeConfiguration(text("", ""))->services[0].coldRequestsPerSecond, 0.0);
    EXPECT_EQ(decodeConfiguration(text(R"(,"cold-per-s")", ",null"))->services[0].coldRequestsPerSecond, 0.0);
}

TEST(PlatformDialect, HealthAnswersTellHowLongAServerStaysCold)
{
    auto coldOf = [](std::string text) {
        return dialect.readTargetAnswer({ .status = 200, .headers = { { "X-Cold-Start-Ms", text } } }).coldFor;
    };
    EXPECT_EQ(coldOf("2400"), 2400ms);
    EXPECT_EQ(coldOf("0"), 0ms);
    for (auto* it : { "", "soon", "-1", "2.5", "99999999999" })
        EXPECT_EQ(coldOf(it), std::nullopt) << it;
}
