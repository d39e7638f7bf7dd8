// Pool of outgoing peer links.
#include "Peer/PeerLinkPool.h"

#include "Loop/Timer.h"
#include "Peer/Backoff.h"

#include <map>
#include <tuple>
#include <unordered_set>
#include <vector>

namespace Berylport {

namespace {

struct AddressLess {
    bool operator()(const PeerAddress& left, const PeerAddress& right) const
    {
        auto key = [](const PeerAddress& it) { return std::tie(it.node.value, it.endpoint.address, it.endpoint.port); };
        return key(left) < key(right);
    }
};

} // namespace

class PeerLinkPool::Private {
public:
    Private(EventLoop& loop, NodeId self, uint64_t seed, PeerLinkPoolOptions options, PeerLinkPoolEvents events)
        : m_loop(loop)
        , m_self(self)
        , m_random(seed)
        , m_options(options)
        , m_events(std::move(events))
        , m_sweepTimer(loop, [this] { sweep(); })
    {
        m_sweepTimer.startPeriodic(options.sweepInterval);
    }

    void open(const PeerAddress&);
    void send(const PeerAddress&, CallRequest&&, CallCompletion&&);
    void cancel(const PeerAddress&, const CallCancel&);
    void remove(const PeerAddress&, PeerError);
    bool isOpen(const PeerAddress&) const;
    size_t linkCount() const;

    // Sends the request on the link to the peer, or completes it with the error that prevents a link.
    template <typename Completion, typename Use>
    void withLink(const PeerAddress& address, Completion&& completion, Use use)
    {
        auto link = getOrConnect(address);
        if (link)
            use(*link.value(), std::move(completion));
        else
            postCallback([completion = std::move(completion), ec = link.error()] { completion(ec); });
    }

private:
    struct Entry {
        explicit Entry(const PeerLinkPoolOptions& options)
            : backoff(options.minimumBackoff, options.maximumBackoff)
        {
        }
        // Null while no connection is open or being opened.
        std::unique_ptr<PeerLink> link;
        Backoff backoff;
        Instant nextConnect;
        Instant lastUsed;
        Instant openedAt;
        bool wasOpened { false };
        // Distinguishes the events of this link from late events of an earlier link to the same peer.
        uint64_t generation { 0 };
    };
    using Entries = std::map<PeerAddress, Entry, AddressLess>;

    Result<PeerLink*, PeerError> getOrConnect(const PeerAddress&);
    bool ensureCapacity();
    void connect(const PeerAddress&, Entry&);
    Entry* find(const PeerAddress&, uint64_t generation);
    void onOpened(const PeerAddress&, uint64_t generation);
    void onClosed(const PeerAddress&, uint64_t generation, PeerError);
    void destroyClosingLink(const PeerLink*);
    void sweep();
    bool isIdle(const Entry&, Instant now) const;
    void postCallback(std::function<void()>);

    EventLoop& m_loop;
    NodeId m_self;
    Random m_random;
    PeerLinkPoolOptions m_options;
    PeerLinkPoolEvents m_events;
    Entries m_entries;
    // Removed links whose completions are still to be called.
    std::vector<std::unique_ptr<PeerLink>> m_closingLinks;
    uint64_t m_lastGeneration { 0 };
    // Attempts that have not completed yet, over all links.
    std::unordered_set<AttemptId> m_outstandingAttempts;
    Timer m_sweepTimer;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

Result<PeerLink*, PeerError> PeerLinkPool::Private::getOrConnect(const PeerAddress& address)
{
    Instant now = steadyNow();
    auto it = m_entries.find(address);
    if (it != m_entries.end()) {
        it->second.lastUsed = now;
        if (it->second.link)
            return it->second.link.get();
        if (now < it->second.nextConnect)
            return PeerError::BackingOff;
    }
    if (!ensureCapacity())
        return PeerError::TooManyLinks;
    it = m_entries.try_emplace(address, m_options).first;
    it->second.lastUsed = now;
    connect(address, it->second);
    return it->second.link.get();
}

// At the limit, evicts the least recently used link without outstanding requests. Returns false if there is none.
bool PeerLinkPool::Private::ensureCapacity()
{
    if (linkCount() < m_options.maximumLinks)
        return true;
    auto oldest = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        bool isFree = it->second.link && !it->second.link->outstanding();
        if (isFree && (oldest == m_entries.end() || it->second.lastUsed < oldest->second.lastUsed))
            oldest = it;
    }
    if (oldest == m_entries.end())
        return false;
    remove(PeerAddress(oldest->first), PeerError::IdleClosed);
    return true;
}

void PeerLinkPool::Private::connect(const PeerAddress& address, Entry& entry)
{
    uint64_t generation = ++m_lastGeneration;
    entry.generation = generation;
    entry.wasOpened = false;
    PeerLinkEvents events {
        .opened = [this, address, generation] { onOpened(address, generation); },
        .closed = [this, address, generation](PeerError reason) { onClosed(address, generation, reason); },
    };
    entry.link = std::make_unique<PeerLink>(m_loop, m_self, address, m_options.link, std::move(events));
}

PeerLinkPool::Private::Entry* PeerLinkPool::Private::find(const PeerAddress& address, uint64_t generation)
{
    auto it = m_entries.find(address);
    return it != m_entries.end() && it->second.generation == generation ? &it->second : nullptr;
}

void PeerLinkPool::Private::onOpened(const PeerAddress& address, uint64_t generation)
{
    Entry* entry = find(address, generation);
    if (!entry)
        return;
    entry->wasOpened = true;
    entry->openedAt = steadyNow();
    if (m_events.opened)
        m_events.opened(address);
}

void PeerLinkPool::Private::onClosed(const PeerAddress& address, uint64_t generation, PeerError reason)
{
    Instant now = steadyNow();
    // There is no entry for a link that was removed from the pool.
    if (Entry* entry = find(address, generation)) {
        bool wasStable = entry->wasOpened && now - entry->openedAt >= m_options.backoffResetTime;
        entry->link.reset();
        if (wasStable)
            entry->backoff.reset();
        entry->nextConnect = wasStable ? now : now + entry->backoff.next(m_random);
    }
    if (m_events.closed)
        m_events.closed(address, reason);
}

void PeerLinkPool::Private::remove(const PeerAddress& address, PeerError reason)
{
    auto it = m_entries.find(address);
    if (it == m_entries.end())
        return;
    auto link = std::move(it->second.link);
    m_entries.erase(it);
    if (!link)
        return;
    link->close(reason);
    // The posted close runs first and posts the link's completions and events; posting twice runs the destruction after
    // them.
    const PeerLink* key = link.get();
    m_closingLinks.push_back(std::move(link));
    postCallback([this, key] { postCallback([this, key] { destroyClosingLink(key); }); });
}

void PeerLinkPool::Private::destroyClosingLink(const PeerLink* link)
{
    std::erase_if(m_closingLinks, [link](const auto& it) { return it.get() == link; });
}

bool PeerLinkPool::Private::isIdle(const Entry& entry, Instant now) const
{
    bool hasWork = entry.link && entry.link->outstanding();
    return !hasWork && now - entry.lastUsed >= m_options.idleTimeout;
}

void PeerLinkPool::Private::sweep()
{
    Instant now = steadyNow();
    std::vector<PeerAddress> idle;
    for (auto& [address, entry] : m_entries) {
        if (entry.link && entry.link->outstanding())
            entry.lastUsed = now;
        if (isIdle(entry, now))
            idle.push_back(address);
        else if (!entry.link && now >= entry.nextConnect && linkCount() < m_options.maximumLinks)
            connect(address, entry);
    }
    for (const auto& it : idle)
        remove(it, PeerError::IdleClosed);
}

void PeerLinkPool::Private::postCallback(std::function<void()> function)
{
    m_loop.post([alive = std::weak_ptr<bool>(m_alive), function = std::move(function)] {
        if (!alive.expired())
            function();
    });
}

void PeerLinkPool::Private::open(const PeerAddress& address)
{
    // Errors are ignored: sweep() retries a failed link, and when the pool is full the link is opened on first use.
    [[maybe_unused]] auto link = getOrConnect(address);
}

void PeerLinkPool::Private::send(const PeerAddress& address, CallRequest&& request, CallCompletion&& completion)
{
    AttemptId id = request.id;
    auto notSent = [&](PeerError ec) { postCallback([completion, id, ec] { completion(CallNotSent { id, ec }); }); };
    if (m_outstandingAttempts.contains(id)) {
        notSent(PeerError::DuplicateAttempt);
        return;
    }
    auto link = getOrConnect(address);
    if (!link) {
        notSent(link.error());
        return;
    }
    m_outstandingAttempts.insert(id);
    auto finished
        = [this, id, alive = std::weak_ptr<bool>(m_alive), completion = std::move(completion)](CallResult result) {
              if (alive.expired())
                  return;
              m_outstandingAttempts.erase(id);
              completion(std::move(result));
          };
    link.value()->send(std::move(request), std::move(finished));
}

void PeerLinkPool::Private::cancel(const PeerAddress& address, const CallCancel& cancelled)
{
    auto it = m_entries.find(address);
    if (it != m_entries.end() && it->second.link)
        it->second.link->cancel(cancelled);
}

bool PeerLinkPool::Private::isOpen(const PeerAddress& address) const
{
    auto it = m_entries.find(address);
    return it != m_entries.end() && it->second.link && it->second.link->isOpen();
}

size_t PeerLinkPool::Private::linkCount() const
{
    size_t n = 0;
    for (const auto& [address, entry] : m_entries)
        n += entry.link ? 1 : 0;
    return n;
}

PeerLinkPool::PeerLinkPool(
    EventLoop& loop, NodeId self, uint64_t seed, PeerLinkPoolOptions options, PeerLinkPoolEvents events)
    : m_private(std::make_unique<Private>(loop, self, seed, options, std::move(events)))
{
}

PeerLinkPool::~PeerLinkPool() = default;

void PeerLinkPool::open(const PeerAddress& address) { m_private->open(address); }

void PeerLinkPool::send(const PeerAddress& address, CallRequest request, CallCompletion completion)
{
    m_private->send(address, std::move(request), std::move(completion));
}

void PeerLinkPool::cancel(const PeerAddress& address, const CallCancel& cancelled)
{
    m_private->cancel(address, cancelled);
}

void PeerLinkPool::query(const PeerAddress& address, const CallQuery& query, QueryCompletion completion)
{
    m_private->withLink(address, std::move(completion),
        [&](PeerLink& link, QueryCompletion&& finished) { link.query(query, std::move(finished)); });
}

void PeerLinkPool::fetchConfiguration(const PeerAddress& address, uint64_t since, ConfigurationCompletion completion)
{
    m_private->withLink(address, std::move(completion), [&](PeerLink& link, ConfigurationCompletion&& finished) {
        link.fetchConfiguration(since, std::move(finished));
    });
}

void PeerLinkPool::drainTarget(
    const PeerAddress& address, const ServiceName& service, bool isDrained, DrainCompletion completion)
{
    m_private->withLink(address, std::move(completion),
        [&](PeerLink& link, DrainCompletion&& finished) { link.drainTarget(service, isDrained, std::move(finished)); });
}

void PeerLinkPool::disconnect(const PeerAddress& address) { m_private->remove(address, PeerError::Closed); }

bool PeerLinkPool::isOpen(const PeerAddress& address) const { return m_private->isOpen(address); }

size_t PeerLinkPool::linkCount() const { return m_private->linkCount(); }

} // namespace Berylport
