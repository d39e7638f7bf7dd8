// The target task of one node on real sockets, with targets that hold each call until the test answers it.
#pragma once

#include "Http/Http.h"
#include "Node/NativeDialect.h"
#include "Node/TargetTask.h"
#include "Trace/Trace.h"

#include <gtest/gtest.h>

namespace Berylport {

// Announcements with an instance id, a start time and a sequence number, which the native format does not have.
class AnnouncementDialect final : public Dialect {
public:
    Result<CallerRequest, EntryRefusal> readCaller(const HttpRequest& request) const override
    {
        return m_native.readCaller(request);
    }
    void prepareForward(HttpRequest&, std::string_view) const override { }
    std::optional<std::string_view> readKey(const HttpRequest&) const override { return std::nullopt; }
    void setAccount(HttpRequest&, std::string_view) const override { }
    void prepareForTarget(HttpRequest&, const TargetRequestContext&) const override { }
    TargetReport readTargetAnswer(const HttpResponse& response) const override
    {
        return m_native.readTargetAnswer(response);
    }
    std::string answerTag(const TargetRequestContext&) const override { return {}; }
    bool allowsCloseDelimitedAnswers() const override { return false; }
    void setRetryAfter(HttpResponse&, Duration) const override { }
    // The body is not parsed: the test hands the announcement over here.
    TargetMessageRead readTargetMessage(const HttpRequest&) const override { return next; }
    HttpResponse acknowledge(TargetState state) const override { return m_native.acknowledge(state); }

    TargetMessageRead next { UnrelatedMessage {} };

private:
    NativeDialect m_native;
};

// Answers its health path and keeps the calls.
class HeldTarget {
public:
    explicit HeldTarget(event_base* base)
        : m_server(base, [this](HttpRequest request, const Endpoint&, Responder responder) {
            if (request.target == "/health")
                responder.answer({ .status = 200 });
            else
                m_calls.push_back(std::move(responder));
        })
    {
        auto endpoint = m_server.listen({ .address = "127.0.0.1", .port = 0 });
        EXPECT_TRUE(endpoint.has_value());
        m_endpoint = endpoint.value();
    }

    void answerAll()
    {
        for (; m_answered < m_calls.size(); ++m_answered)
            m_calls[m_answered].answer({ .status = 200 });
    }
    // Calls that have arrived so far.
    size_t arrived() const { return m_calls.size(); }
    const Endpoint& endpoint() const { return m_endpoint; }

private:
    HttpServer m_server;
    Endpoint m_endpoint;
    std::vector<Responder> m_calls;
    size_t m_answered { 0 };
};

class TargetTaskTest : public testing::Test {
protected:
    static constexpr Duration patience = std::chrono::seconds(10);
    static constexpr uint16_t slots = 9;
    static constexpr size_t offered = 2 * slots;

    // startedAgo: age of the process, whose start a target with start time 100 precedes.
    void startNode(bool isFirstStart = true, Duration startedAgo = {})
    {
        m_settings.node.isFirstStart = isFirstStart;
        m_settings.listen.local.port = freePort();
        m_context.status.isDiscoveryDone = true;
        m_context.status.guard = GuardState::Confirmed;
        m_context.status.startedAt = steadyNow() - startedAgo;
        m_context.ports.membership.attach(&m_membership);
        m_context.tracer = makeJsonTracer(*openSpanSink("none"), 1, "test");
        m_task.emplace(m_context);
        m_task->start();
        auto catalogue = std::make_shared<ServiceCatalogue>();
        for (auto& it : { m_service, m_otherService })
            catalogue->services[it] = { .name = it, .version = 1 };
        m_context.ports.target.post(CatalogueChanged { .catalogue = catalogue });
    }
    ~TargetTaskTest() override
    {
        if (m_task)
            m_task->stop();
    }

    bool runUntil(const std::function<bool()>& condition) { return m_loop.runUntil(condition, patience); }

    TargetAnnouncement makeAnnouncement(const ServiceName& service, std::string instance, uint64_t startedAt,
        const HeldTarget& target, uint64_t sequence = 1) const
    {
        return { .service = service,
            .endpoint = target.endpoint(),
            .slots = slots,
            .instance = std::move(instance),
            .startedAtMilliseconds = startedAt,
            .sequence = sequence };
    }

    // Sends the message to the node and returns the status of its answer; zero if there is none.
    uint16_t tell(TargetMessageRead message)
    {
        m_dialect->next = std::move(message);
        std::optional<SendResult> result;
        TargetClient client(m_loop.base(), m_settings.listen.local);
        client.send({ .method = "POST", .target = "/" }, { .deadline = steadyNow() + patience },
            [&result](SendResult it) { result = std::move(it); });
        EXPECT_TRUE(runUntil([&] { return result.has_value(); }));
        auto* response = std::get_if<HttpResponse>(&*result);
        return response ? response->status : 0;
    }

    // Calls that a target without a history runs at once.
    static size_t firstLimit()
    {
        ConcurrencyLimit limit;
        limit.setSlots(slots);
        return limit.limit();
    }

    void offerCalls(const ServiceName& service)
    {
        for (size_t n = 0; n < offered; ++n) {
            CallId id { .origin = m_context.self, .sequence = ++m_lastSequence };
            CallRequest request { .id = { .call = id, .attempt = 1 },
                .receiver = m_context.self,
                .service = service,
                .deadline = steadyNow() + patience,
                .http = { .method = "POST", .target = "/work" } };
            m_context.ports.target.post(OfferCall { .link = LinkId {},
                .request = std::move(request),
                .reply = [this](CallReply reply) { m_replies.push_back(std::move(reply)); } });
        }
    }

    // As the members are told.
    TargetState stateOf(const ServiceName& service) const
    {
        auto it = std::ranges::find(m_targets, service, &MemberTarget::service);
        return it == m_targets.end() ? TargetState::Down : it->state;
    }
    bool becomesReady(const ServiceName& service, Duration limit)
    {
        return m_loop.runUntil([&] { return stateOf(service) == TargetState::Ready; }, limit);
    }
    bool waitUntilReady(const ServiceName& service) { return becomesReady(service, patience); }

    template <typename Reply> size_t countReplies() const
    {
        return static_cast<size_t>(
            std::ranges::count_if(m_replies, [](auto& it) { return std::holds_alternative<Reply>(it); }));
    }

    uint16_t freePort()
    {
        HttpServer server(m_loop.base(), [](HttpRequest, const Endpoint&, Responder) {});
        return server.listen({ .address = "127.0.0.1", .port = 0 }).value().port;
    }

    ServiceName m_service { "collectsvc" };
    ServiceName m_otherService { "quotesvc" };
    EventLoop m_loop;
    NodeSettings m_settings;
    std::shared_ptr<AnnouncementDialect> m_dialect { std::make_shared<AnnouncementDialect>() };
    NodeAdapter m_adapter { .dialect = m_dialect, .connectStore = nullptr };
    NodeContext m_context {
        .loop = m_loop, .settings = m_settings, .adapter = m_adapter, .self = NodeId { 7 }, .seed = 1
    };
    std::optional<TargetTask> m_task;
    Mailbox<MembershipMessage> m_membership { m_loop, [this](MembershipMessage&& message) {
                                                 if (auto* it = std::get_if<TargetsAnnounced>(&message))
                                                     m_targets = std::move(it->targets);
                                             } };
    std::vector<MemberTarget> m_targets;
    std::vector<CallReply> m_replies;
    uint64_t m_lastSequence { 0 };
};

} // namespace Berylport
