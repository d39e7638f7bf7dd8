// The way of a request to a fake store and back in virtual time, with the stand-ins' faults. The semantics come from
// the stand-ins' state classes.
#pragma once

#include "StandIns/Common/FaultInjector.h"
#include "Store/Store.h"
#include "Store/VirtualTime.h"

#include <functional>
#include <memory>
#include <type_traits>
#include <utility>

namespace Berylport::Testing {

struct FakeNetwork {
    Duration delayMin { std::chrono::milliseconds(1) };
    Duration delayMax { std::chrono::milliseconds(5) };
    // Share of requests that never arrive.
    double lostRate { 0 };
    // Share of requests that arrive up to `lateMax` later, long after the client has given them up.
    double lateRate { 0 };
    Duration lateMax { std::chrono::seconds(20) };
    Duration clientTimeout { std::chrono::milliseconds(500) };
};

class FakeStore {
public:
    FakeStore(VirtualTime& time, uint64_t seed)
        : faults(seed)
        , m_time(time)
        , m_random(seed + 1)
    {
    }

    FaultInjector faults;
    FakeNetwork network;
    StoreCounters counters;

    // `apply` runs in the store; the completion runs in the process of the client.
    template <typename T>
    void request(const std::shared_ptr<FakeProcess>& process, bool isWrite, std::function<StoreResult<T>()> apply,
        Completion<T> completion)
    {
        auto call = std::make_shared<Call<T>>();
        call->process = process;
        call->completion = std::move(completion);
        auto unanswered = StoreError { .code = StoreErrorCode::Timeout };
        m_time.after(network.clientTimeout, [=] { call->complete(unanswered); });
        if (m_random.chance(network.lostRate))
            return;
        auto delay = randomDelay();
        if (m_random.chance(network.lateRate))
            delay += Duration(static_cast<int64_t>(m_random.below(network.lateMax.count() + 1)));
        m_time.after(delay, [this, call, isWrite, apply = std::move(apply)] { arrive(call, isWrite, apply); });
    }

private:
    template <typename T> struct Call {
        std::shared_ptr<FakeProcess> process;
        Completion<T> completion;

        void complete(StoreResult<T> result)
        {
            if (!completion)
                return;
            process->run([process = process, completion = std::exchange(completion, nullptr),
                             result = std::move(result)] { completion(process->localNow(), result); });
        }
    };

    template <typename T>
    void arrive(const std::shared_ptr<Call<T>>& call, bool isWrite, const std::function<StoreResult<T>()>& apply)
    {
        auto decision = faults.decide(m_time.now(), isWrite, counters);
        if (decision.isRefused) {
            bool isRefusedConnection = faults.settings().down == DownMode::Refuse;
            auto code = isRefusedConnection ? StoreErrorCode::Unavailable : StoreErrorCode::Timeout;
            answer(call, decision, StoreError { .code = code });
        } else if (decision.throttledFor) {
            answer(
                call, decision, StoreError { .code = StoreErrorCode::Throttled, .retryAfter = *decision.throttledFor });
        } else {
            m_time.after(decision.applyDelay, [=, this] {
                auto result = apply();
                if (decision.dropsAnswer)
                    answer(call, decision, StoreError { .code = StoreErrorCode::Timeout });
                else
                    answer(call, decision, std::move(result));
            });
        }
    }

    template <typename T>
    void answer(const std::shared_ptr<Call<T>>& call, const FaultDecision& decision,
        std::type_identity_t<StoreResult<T>> result)
    {
        m_time.after(
            decision.answerDelay + randomDelay(), [call, result = std::move(result)] { call->complete(result); });
    }

    Duration randomDelay()
    {
        auto range = network.delayMax - network.delayMin;
        return network.delayMin + Duration(static_cast<int64_t>(m_random.below(range.count() + 1)));
    }

    VirtualTime& m_time;
    Random m_random;
};

} // namespace Berylport::Testing
