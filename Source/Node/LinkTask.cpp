// Connects the peer links with the other tasks of the node.
#include "Node/LinkTask.h"

#include "Log/Log.h"

namespace Berylport {

namespace {

// After a process pause no call is started on a target until every link has answered a ping. Without this limit one
// hung peer would block all starts until its link is closed by the silence limit of 5 s. A peer whose link is closed
// earlier queries the outcome of its calls.
constexpr Duration confirmationTimeout = std::chrono::milliseconds(500);

// A ping exchange takes about 256 bytes. At the PeerLink default of 500 ms, 64 links in each direction would send three
// times the 11 KB/s that a node may spend on control traffic. Links with calls that wait are pinged sooner, unless they
// are heard.
PeerLinkPoolOptions makeLinksOptions()
{
    PeerLinkPoolOptions options;
    options.link.pingInterval = std::chrono::seconds(2);
    options.link.inactivityTimeout = std::chrono::seconds(5);
    return options;
}

PeerServerOptions makeServerOptions()
{
    PeerServerOptions options;
    options.inactivityTimeout = std::chrono::seconds(5);
    return options;
}

} // namespace

LinkTask::LinkTask(NodeContext& context)
    : Task(context.loop, "link")
    , m_context(context)
    , m_mailbox(context.loop,
          guarded([this](LinkMessage&& message) { std::visit([this](auto& it) { handle(std::move(it)); }, message); }))
    , m_server(context.loop, context.self, *this, makeServerOptions())
    , m_links(context.loop, context.self, context.seed, makeLinksOptions(),
          { .opened =
                  [](const PeerAddress& address) {
                      logEvent(Event::LinkOpened, { { "peer", toText(address.node) } });
                  },
              .closed =
                  [](const PeerAddress& address, PeerError ec) {
                      logEvent(Event::LinkClosed,
                          { { "peer", toText(address.node) }, { "reason", std::string(toText(ec)) } });
                  } })
    , m_confirmationTimer(context.loop, guarded([this] { closeUnconfirmed(); }))
{
}

LinkTask::~LinkTask() = default;

void LinkTask::start()
{
    auto endpoint = m_server.listen(m_context.settings.listen.peer);
    if (!endpoint)
        throw std::runtime_error("cannot listen for peers on " + toText(m_context.settings.listen.peer) + ": "
            + std::string(toText(endpoint.error())));
    m_context.ports.link.attach(&m_mailbox);
    for (auto& it : m_context.status.members)
        m_endpoints[it.node] = it.peer;
}

void LinkTask::stop() noexcept
{
    m_context.ports.link.detach();
    m_server.stopListening();
}

std::optional<PeerAddress> LinkTask::addressOf(NodeId node) const
{
    auto it = m_endpoints.find(node);
    if (it == m_endpoints.end())
        return std::nullopt;
    return PeerAddress { .node = node, .endpoint = it->second };
}

// --- requests from peers

void LinkTask::callArrived(const LinkInfo& link, CallRequest request, ReplyToCall reply)
{
    AttemptId id = request.id;
    m_context.metrics.add("berylport_link_calls_total");
    bool isPosted
        = m_context.ports.target.post(OfferCall { .link = link.id, .request = std::move(request), .reply = reply });
    if (!isPosted)
        reply(CallRefused { .id = id, .reason = RefusalReason::NoTarget });
}

void LinkTask::cancelArrived(const LinkInfo&, CallCancel cancel)
{
    m_context.ports.target.post(CancelCall { .cancel = cancel });
}

void LinkTask::queryArrived(const LinkInfo& link, CallQuery query, ReplyToQuery reply)
{
    AttemptId id = query.id;
    if (!m_context.ports.target.post(QueryCall { .link = link.id, .query = query, .reply = reply }))
        reply(CallLost { .id = id, .reason = LossReason::NodeStopped });
}

ConfigurationOffer LinkTask::configuration(uint64_t since)
{
    ConfigurationOffer offer;
    if (m_context.status.configuration)
        offer.delta = m_context.status.configuration->deltaSince(since);
    auto& status = m_context.status;
    if (status.document) {
        offer.delta.version = status.configurationVersion;
        if (offer.delta.version > since)
            offer.document = *status.document;
    }
    offer.isServing = status.guard == GuardState::Confirmed;
    return offer;
}

void LinkTask::drainArrived(const LinkInfo&, const ServiceName& service, bool isDrained, std::function<void(bool)> done)
{
    if (!m_context.ports.target.post(DrainTarget { .service = service, .isDrained = isDrained, .done = done }))
        done(false);
}

void LinkTask::linkOpened(const LinkInfo& link) { m_context.ports.target.post(LinkOpened { .link = link.id }); }

void LinkTask::linkClosed(const LinkInfo& link) { m_context.ports.target.post(LinkClosed { .link = link.id }); }

// --- handlers of messages from other tasks

void LinkTask::handle(SendAttempt&& attempt)
{
    auto address = addressOf(attempt.target.node);
    AttemptId id = attempt.request.id;
    auto& ports = m_context.ports;
    if (!address) {
        ports.entry.post(AttemptNotSent { .id = id });
        return;
    }
    m_links.send(*address, std::move(attempt.request), [&ports](CallResult result) {
        if (result)
            ports.entry.post(AttemptReplied { .reply = std::move(result.value()) });
        else
            ports.entry.post(AttemptNotSent { .id = result.error().id });
    });
}

void LinkTask::handle(SendCancel&& message)
{
    if (auto address = addressOf(message.target.node))
        m_links.cancel(*address, message.cancel);
}

void LinkTask::handle(SendQuery&& message)
{
    AttemptId id = message.query.id;
    auto& ports = m_context.ports;
    auto address = addressOf(message.target.node);
    if (!address) {
        ports.entry.post(QueryFailed { .id = id });
        return;
    }
    m_links.query(*address, message.query, [&ports, id](Result<QueryReply, PeerError> result) {
        if (result)
            ports.entry.post(QueryReplied { .reply = std::move(result.value()) });
        else
            ports.entry.post(QueryFailed { .id = id });
    });
}

void LinkTask::handle(PeerEndpoints&& message) { m_endpoints = std::move(message.endpoints); }

void LinkTask::handle(ConfirmLinks&& message)
{
    m_unconfirmed.clear();
    for (auto& it : m_server.links())
        m_unconfirmed.insert(it.id);
    m_confirmationTimer.startOnce(confirmationTimeout);
    m_server.pingLinks([this, pause = message.pause](const LinkInfo& link) {
        m_unconfirmed.erase(link.id);
        m_context.ports.target.post(LinkConfirmed { .link = link.id, .pause = pause });
    });
}

void LinkTask::closeUnconfirmed()
{
    for (LinkId it : std::exchange(m_unconfirmed, {}))
        m_server.closeLink(it);
}

void LinkTask::handle(FetchConfiguration&& message)
{
    auto& ports = m_context.ports;
    NodeId node = message.node;
    auto address = addressOf(node);
    if (!address) {
        ports.configuration.post(ConfigurationFetchFailed { .node = node });
        return;
    }
    Instant askedAt = steadyNow();
    m_links.fetchConfiguration(
        *address, message.since, [&ports, node, askedAt](Result<ConfigurationOffer, PeerError> offer) {
            if (!offer) {
                ports.configuration.post(ConfigurationFetchFailed { .node = node });
                return;
            }
            ports.configuration.post(ConfigurationFetched { .node = node,
                .delta = std::move(offer.value().delta),
                .document = std::move(offer.value().document),
                .isServing = offer.value().isServing,
                .askedAt = askedAt });
        });
}

void LinkTask::handle(MemberGone&& message)
{
    if (auto address = addressOf(message.node))
        m_links.disconnect(*address);
}

void LinkTask::handle(SendActionAttempt&& message)
{
    auto address = addressOf(message.node);
    if (!address) {
        message.done(std::nullopt);
        return;
    }
    m_links.send(*address, std::move(message.request), [done = std::move(message.done)](CallResult result) {
        if (result)
            done(std::move(result.value()));
        else
            done(std::nullopt);
    });
}

void LinkTask::handle(QueryActionAttempt&& message)
{
    auto address = addressOf(message.node);
    if (!address) {
        message.done(std::nullopt);
        return;
    }
    m_links.query(*address, message.query, [done = std::move(message.done)](Result<QueryReply, PeerError> result) {
        if (result)
            done(std::move(result.value()));
        else
            done(std::nullopt);
    });
}

void LinkTask::handle(DrainRemoteTarget&& message)
{
    auto address = addressOf(message.node);
    if (!address) {
        message.done(RemoteDrainError::UnknownNode);
        return;
    }
    m_links.drainTarget(
        *address, message.service, message.isDrained, [done = message.done](Result<bool, PeerError> isKnown) {
            if (!isKnown)
                done(RemoteDrainError::Unreachable);
            else if (!isKnown.value())
                done(RemoteDrainError::UnknownTarget);
            else
                done(success());
        });
}

void LinkTask::handle(BeginDrain&&)
{
    // Links stay open: peers may still query the outcome of calls, and new calls get a definite refusal.
}

} // namespace Berylport
