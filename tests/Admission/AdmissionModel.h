// Drives an admission with a random sequence of inputs and records every broken promise. The model is naive: it
// remembers everything for ever and scans it.
#pragma once

#include "Admission/AdmissionHelper.h"

#include <algorithm>
#include <map>
#include <set>

namespace Berylport {

enum class Violation : uint8_t {
    // A non-idempotent call started twice.
    SecondStart,
    StartAfterRefusal,
    RefusalAfterStart,
    StartAfterDeadline,
    StartAboveSlots,
    // Starts while some link has not been confirmed after a pause.
    StartBehindGate,
    // Offered for the first time after the drain began, or started on a target that is not ready.
    StartWithoutTarget,
    // Nobody waited for this reply.
    UnexpectedReply,
    // Somebody who waited got no reply.
    MissingReply,
    QueueAboveLimit,
    // The answer of another call.
    ForeignAnswer,
};

// Draws from one word by SplitMix64. Seeding a Random for every input takes most of the time of a sanitizer run.
class WordSource {
public:
    explicit WordSource(uint64_t word)
        : m_state(word)
    {
    }
    uint64_t below(uint64_t bound)
    {
        m_state += 0x9E3779B97F4A7C15ull;
        uint64_t n = (m_state ^ (m_state >> 30)) * 0xBF58476D1CE4E5B9ull;
        n = (n ^ (n >> 27)) * 0x94D049BB133111EBull;
        return (n ^ (n >> 31)) % bound;
    }
    bool chance(double probability) { return below(1'000'000) < static_cast<uint64_t>(probability * 1e6); }

private:
    uint64_t m_state;
};

struct ModelShape {
    uint32_t queueLimit { 4 };
    LedgerOptions ledger {};
};

template <typename Admission> class AdmissionModel {
public:
    AdmissionModel(Admission& admission, ModelShape shape)
        : m_admission(admission)
        , m_shape(shape)
    {
        call([&] { m_admission.setSlots(m_now, m_slots, m_actions); });
        call([&] { m_admission.setTargetState(m_now, m_state, m_actions); });
        for (LinkId it : m_links)
            m_admission.linkOpened(it);
    }

    // One input, drawn from the word as a seed.
    void step(uint64_t word)
    {
        WordSource random(word);
        m_now += Duration(random.below(random.chance(0.003) ? 40'000'000 : 40'000));
        call([&] { m_admission.tick(m_now, m_actions); });
        auto choice = random.below(100);
        if (choice < 45)
            offer(random);
        else if (choice < 70)
            endOne(random);
        else if (choice < 80)
            query(random);
        else if (choice < 86)
            cancel(random);
        else
            disturb(random);
    }

    // Lets everything end: what still waits then has been forgotten.
    void finish()
    {
        for (LinkId it : m_links)
            confirm(it);
        setSlots(2);
        while (!m_running.empty())
            answer(AttemptId(*m_running.begin()));
        m_now += std::chrono::seconds(10);
        call([&] { m_admission.tick(m_now, m_actions); });
        while (!m_running.empty())
            answer(AttemptId(*m_running.begin()));
        if (!m_waiting.empty())
            violations.insert(Violation::MissingReply);
    }

    std::set<Violation> violations;
    size_t starts { 0 };
    size_t refusals { 0 };
    size_t losses { 0 };

private:
    struct KnownCall {
        Instant deadline;
        Duration timeout {};
        // Starts that were not taken back by targetNotReached.
        std::set<uint32_t> started;
        std::set<uint32_t> refused;
        // Attempts whose requester's link was lost while it waited.
        std::set<uint32_t> abandoned;
        bool isOfferedBeforeDrain { false };
    };

    static RequestKind kindOf(uint64_t sequence)
    {
        return sequence % 3 ? RequestKind::AtMostOnce : RequestKind::Idempotent;
    }

    // Recent calls more often than old ones, so that duplicates meet every state.
    AttemptId drawAttempt(WordSource& random)
    {
        if (random.chance(0.3))
            m_latestCall++;
        uint64_t sequence = m_latestCall - std::min(m_latestCall, random.below(6));
        AttemptId id = attemptOf(sequence, static_cast<uint32_t>(random.below(2)));
        auto [it, isNew] = m_calls.try_emplace(id.call);
        if (isNew) {
            it->second.timeout = std::chrono::milliseconds(20 + random.below(1500));
            it->second.deadline = m_now + it->second.timeout;
        }
        return id;
    }
    LinkId drawLink(WordSource& random) const { return m_links[random.below(m_links.size())]; }

    void offer(WordSource& random)
    {
        AttemptId id = drawAttempt(random);
        KnownCall& known = m_calls[id.call];
        known.isOfferedBeforeDrain |= m_state != TargetState::Draining;
        CallShape shape { .kind = kindOf(id.call.sequence), .link = drawLink(random) };
        shape.priority = static_cast<Priority>(random.below(3));
        shape.tenant = std::string(1, static_cast<char>('a' + random.below(3)));
        auto request = makeRequest(id, known.deadline, shape);
        setHeader(request.http.headers, "Berylport-Timeout-Ms", std::to_string(toMilliseconds(known.timeout)));
        m_waiting.emplace(shape.link, id);
        call([&] { m_admission.offer(m_now, shape.link, request, m_actions); });
    }
    void query(WordSource& random)
    {
        AttemptId id = drawAttempt(random);
        CallQuery message { .id = id, .receiver = testNode, .deadline = m_calls[id.call].deadline };
        LinkId link = drawLink(random);
        call([&] { m_admission.query(m_now, link, message, m_actions); });
    }
    void cancel(WordSource& random)
    {
        AttemptId id = drawAttempt(random);
        call([&] { m_admission.cancel(m_now, { .id = id }, m_actions); });
    }
    void answer(const AttemptId& id)
    {
        m_running.erase(id);
        HttpResponse http { .status = 200, .reason = "OK", .headers = {}, .body = toText(id.call) };
        call([&] { m_admission.targetAnswered(m_now, id, std::move(http), m_actions); });
    }
    void endOne(WordSource& random)
    {
        if (m_running.empty())
            return;
        AttemptId id = *std::next(m_running.begin(), static_cast<long>(random.below(m_running.size())));
        auto choice = random.below(10);
        if (choice < 7) {
            answer(id);
            return;
        }
        m_running.erase(id);
        if (choice < 9) {
            call([&] { m_admission.targetLost(m_now, id, LossReason::TargetClosed, m_actions); });
            return;
        }
        m_calls[id.call].started.erase(id.attempt);
        call([&] { m_admission.targetNotReached(m_now, id, m_actions); });
    }
    void confirm(LinkId link)
    {
        m_unconfirmed.erase(link);
        call([&] { m_admission.linkConfirmed(m_now, link, m_pause, m_actions); });
    }
    void disturb(WordSource& random)
    {
        auto choice = random.below(20);
        LinkId link = drawLink(random);
        if (choice < 2)
            pause();
        else if (choice < 12)
            confirm(link);
        else if (choice < 14)
            reopen(link);
        else if (choice < 16)
            setSlots(static_cast<uint16_t>(random.below(5)));
        else
            setState(random.chance(0.75) ? TargetState::Ready : static_cast<TargetState>(random.below(4)));
    }
    // Starts are legal until the pause is reported, so the gate closes before the call.
    void pause()
    {
        m_unconfirmed = { m_links.begin(), m_links.end() };
        m_unconfirmed.erase(LinkId {});
        call([&] { m_pause = m_admission.pauseDetected(m_now, m_actions); });
    }
    void reopen(LinkId link)
    {
        if (link.isLocal())
            return;
        for (auto& [requester, id] : m_waiting) {
            if (requester == link)
                m_calls[id.call].abandoned.insert(id.attempt);
        }
        std::erase_if(m_waiting, [&](auto& it) { return it.first == link; });
        bool wasClosed = !m_unconfirmed.empty();
        m_unconfirmed.erase(link);
        call([&] { m_admission.linkClosed(m_now, link, m_actions); });
        if (wasClosed && !m_unconfirmed.empty())
            m_unconfirmed.insert(link);
        m_admission.linkOpened(link);
    }
    void setSlots(uint16_t slots)
    {
        m_slots = slots;
        call([&] { m_admission.setSlots(m_now, slots, m_actions); });
    }
    void setState(TargetState state)
    {
        if (state == TargetState::Draining) {
            // A queued call whose link was lost goes on without anybody who waits for it.
            for (auto& [id, known] : m_calls)
                known.isOfferedBeforeDrain = isQueued(id) || !known.abandoned.empty();
        }
        m_state = state;
        call([&] { m_admission.setTargetState(m_now, state, m_actions); });
    }
    bool isQueued(const CallId& call) const
    {
        return std::ranges::any_of(m_waiting, [&](auto& it) { return it.second.call == call; });
    }

    template <typename Input> void call(Input input)
    {
        m_actions.clear();
        input();
        for (auto& it : m_actions)
            std::visit([&](auto& action) { check(action); }, it);
        if (m_admission.load(m_now).queued > m_shape.queueLimit)
            violations.insert(Violation::QueueAboveLimit);
    }

    void require(bool condition, Violation violation)
    {
        if (!condition)
            violations.insert(violation);
    }

    void check(const StartOnTarget& start)
    {
        starts++;
        KnownCall& known = m_calls[start.id.call];
        bool mayRepeat = kindOf(start.id.call.sequence) == RequestKind::Idempotent;
        require(mayRepeat ? !known.started.contains(start.id.attempt) : known.started.empty(), Violation::SecondStart);
        require(!known.refused.contains(start.id.attempt), Violation::StartAfterRefusal);
        require(m_now < known.deadline, Violation::StartAfterDeadline);
        require(m_running.size() < m_slots, Violation::StartAboveSlots);
        require(m_unconfirmed.empty(), Violation::StartBehindGate);
        bool isReady = m_state == TargetState::Ready || m_state == TargetState::Draining;
        require(isReady && known.isOfferedBeforeDrain, Violation::StartWithoutTarget);
        known.started.insert(start.id.attempt);
        m_running.insert(start.id);
    }
    void check(const CancelOnTarget& action)
    {
        require(kindOf(action.id.call.sequence) == RequestKind::Idempotent, Violation::UnexpectedReply);
    }
    void check(const Reply& action)
    {
        std::visit([&](auto& it) { checkOutcome(it); }, action.reply);
        AttemptId id = std::visit([](auto& it) { return it.id; }, action.reply);
        require(m_waiting.erase({ action.link, id }) == 1, Violation::UnexpectedReply);
    }
    void check(const AnswerQuery& action)
    {
        std::visit([&](auto& it) { checkOutcome(it); }, action.reply);
        if (auto* pending = std::get_if<CallPending>(&action.reply))
            m_waiting.emplace(action.link, pending->id);
    }
    void checkOutcome(const CallRefused& reply)
    {
        refusals++;
        KnownCall& known = m_calls[reply.id.call];
        require(!known.started.contains(reply.id.attempt), Violation::RefusalAfterStart);
        // A first refusal tells the sender that its call has not run, so no other attempt may have run it either.
        // An attempt whose link was lost may have been refused, with nobody waiting, before the other one started.
        bool mayRepeat = kindOf(reply.id.call.sequence) == RequestKind::Idempotent;
        bool mayBeOlder = known.refused.contains(reply.id.attempt) || known.abandoned.contains(reply.id.attempt);
        require(mayRepeat || mayBeOlder || known.started.empty(), Violation::RefusalAfterStart);
        known.refused.insert(reply.id.attempt);
    }
    void checkOutcome(const CallAnswered& reply)
    {
        require(reply.http.body == toText(reply.id.call), Violation::ForeignAnswer);
    }
    void checkOutcome(const CallLost&) { losses++; }
    void checkOutcome(const CallPending&) { }

    Admission& m_admission;
    ModelShape m_shape;
    Instant m_now = instantFromMicroseconds(0);
    AdmissionActions m_actions;
    std::vector<LinkId> m_links { LinkId {}, firstLink, secondLink };
    std::set<LinkId> m_unconfirmed;
    uint64_t m_pause { 0 };
    uint16_t m_slots { 2 };
    TargetState m_state { TargetState::Ready };
    uint64_t m_latestCall { 0 };
    std::map<CallId, KnownCall> m_calls;
    std::set<AttemptId> m_running;
    // Link and id of every reply that is still owed.
    std::set<std::pair<LinkId, AttemptId>> m_waiting;
};

} // namespace Berylport
