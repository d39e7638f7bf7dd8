// Connection and state of one target on this VM.
#include "Node/LocalTarget.h"

namespace Berylport {

void ReplyBook::add(LinkId link, const AttemptId& id, Function function)
{
    m_functions.emplace(Key { .link = link, .id = id }, std::move(function));
}

ReplyBook::Function ReplyBook::take(LinkId link, const AttemptId& id)
{
    auto it = m_functions.find({ .link = link, .id = id });
    if (it == m_functions.end())
        return nullptr;
    Function function = std::move(it->second);
    m_functions.erase(it);
    return function;
}

void ReplyBook::dropLink(LinkId link)
{
    std::erase_if(m_functions, [&](auto& entry) { return entry.first.link == link; });
}

LocalTarget::LocalTarget(
    event_base* eventBase, NodeId self, const ServiceName& name, const TargetSection& section, Instant now)
    : base(eventBase)
    , settings(section)
    , service(name)
    , admission({ .self = self, .service = name, .learnsConcurrency = true })
    , probe({}, now)
{
}

void LocalTarget::connect(const Endpoint& endpoint, bool allowsCloseDelimitedAnswers)
{
    TargetClientOptions options { .limits = { .headBytes = 16 * 1024,
                                      .bodyBytes = settings.maximumAnswerBytes,
                                      .allowsCloseDelimited = allowsCloseDelimitedAnswers },
        .connectTime = settings.connectTimeout,
        .maxConnections = settings.maximumConnections };
    client = std::make_unique<TargetClient>(base, endpoint, options);
}

TargetState LocalTarget::effectiveState() const
{
    if (!announcement || isRefusing)
        return TargetState::Down;
    if (isDrainedByOperator)
        return TargetState::Draining;
    // A target with an id of its own may be one that was let go before this process started.
    bool mayHaveDeparted = !areDeparturesKnown && !announcement->instance.empty();
    if (mayHaveDeparted && announcement->state == TargetState::Ready)
        return TargetState::Starting;
    return announcement->state;
}

} // namespace Berylport
