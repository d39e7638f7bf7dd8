// Connection and state of one target on this VM.
#include "Node/LocalTarget.h"

namespace Berylport {

void PendingReplies::add(LinkId link, const AttemptId& id, Callback function)
{
    m_callbacks.emplace(Key { .link = link, .id = id }, std::move(function));
}

PendingReplies::Callback PendingReplies::take(LinkId link, const AttemptId& id)
{
    auto it = m_callbacks.find({ .link = link, .id = id });
    if (it == m_callbacks.end())
        return nullptr;
    Callback function = std::move(it->second);
    m_callbacks.erase(it);
    return function;
}

void PendingReplies::dropLink(LinkId link)
{
    std::erase_if(m_callbacks, [&](auto& entry) { return entry.first.link == link; });
}

LocalTarget::LocalTarget(event_base* eventBase, NodeId self, const ServiceName& name, const TargetSection& section,
    Instant now, Instant processStart, const MemoryLimits& memory)
    : base(eventBase)
    , settings(section)
    , service(name)
    , maximumAnswerBytes(memory.answerBytes)
    , admission({ .self = self,
          .service = name,
          .maximumQueuedBytes = memory.queuedBytes,
          .ledger = { .maximumRetainedBytes = memory.retainedBytes },
          .processStart = processStart,
          .adaptsConcurrency = true })
    , probe({}, now)
{
}

void LocalTarget::connect(const Endpoint& endpoint, bool allowsCloseDelimitedAnswers)
{
    TargetClientOptions options { .limits = { .headBytes = 16 * 1024,
                                      .bodyBytes = settings.maximumAnswerBytes,
                                      .allowsCloseDelimited = allowsCloseDelimitedAnswers },
        .connectTime = settings.connectTimeout,
        .maxConnections = settings.maximumConnections,
        .maximumHeldBytes = maximumAnswerBytes };
    client = std::make_unique<TargetClient>(base, endpoint, options);
    isProbing = false;
}

void LocalTarget::disconnect()
{
    client.reset();
    isProbing = false;
}

TargetState LocalTarget::effectiveState() const
{
    if (!announcement || isRefusing)
        return TargetState::Down;
    if (isDrainedByOperator)
        return TargetState::Draining;
    // An earlier process may have acknowledged the departure of a target with an instance id, so the target is not
    // ready until the departures are known.
    bool mayHaveDeparted = (!areDeparturesKnown || isUnconfirmed) && !announcement->instance.empty();
    if ((mayHaveDeparted || firstAnswerDeadline) && announcement->state == TargetState::Ready)
        return TargetState::Starting;
    return announcement->state;
}

} // namespace Berylport
