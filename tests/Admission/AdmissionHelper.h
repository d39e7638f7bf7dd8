// Shared by the Admission tests: an AdmissionController in virtual time with short calls for its inputs.
#pragma once

#include "Admission/Admission.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace Berylport {

constexpr NodeId testNode { 7 };
constexpr NodeId testOrigin { 3 };
constexpr LinkId firstLink { 1 };
constexpr LinkId secondLink { 2 };
constexpr Duration millisecond = std::chrono::milliseconds(1);

inline const ServiceName& testService()
{
    static const ServiceName name("bookings");
    return name;
}

constexpr AttemptId attemptOf(uint64_t call, uint32_t attempt = 0)
{
    return { .call = { .origin = testOrigin, .sequence = call }, .attempt = attempt };
}

struct CallShape {
    RequestKind kind { RequestKind::AtMostOnce };
    Priority priority { Priority::Normal };
    std::string tenant { "a" };
    Duration timeout { std::chrono::seconds(2) };
    LinkId link { firstLink };
    uint32_t retryTokens { 0 };
    uint32_t depth { 0 };
    std::string body {};
};

inline CallRequest makeRequest(AttemptId id, Instant deadline, const CallShape& shape = {})
{
    return {
        .id = id,
        .receiver = testNode,
        .service = testService(),
        .tenant = TenantName(shape.tenant),
        .kind = shape.kind,
        .priority = shape.priority,
        .deadline = deadline,
        .retryTokens = shape.retryTokens,
        .depth = shape.depth,
        .http = { .method = "POST", .target = "/", .headers = {}, .body = shape.body },
    };
}

// The controller with its clock. Every input clears the actions of the one before.
struct AdmissionBench {
    explicit AdmissionBench(AdmissionOptions options = {}, ServiceDefinition definition = { .name = testService() })
    {
        options.self = testNode;
        options.service = testService();
        controller = std::make_unique<AdmissionController>(std::move(options));
        controller->setDefinition(definition);
        controller->setTargetState(now, TargetState::Ready, actions);
    }

    AdmissionActions& offer(AttemptId id, const CallShape& shape = {})
    {
        return run([&] { controller->offer(now, shape.link, makeRequest(id, now + shape.timeout, shape), actions); });
    }
    AdmissionActions& offerUntil(AttemptId id, Instant deadline, const CallShape& shape = {})
    {
        return run([&] { controller->offer(now, shape.link, makeRequest(id, deadline, shape), actions); });
    }
    AdmissionActions& query(AttemptId id, Instant deadline, LinkId link = firstLink, NodeId receiver = testNode)
    {
        return run(
            [&] { controller->query(now, link, { .id = id, .receiver = receiver, .deadline = deadline }, actions); });
    }
    AdmissionActions& cancel(AttemptId id)
    {
        return run([&] { controller->cancel(now, { .id = id }, actions); });
    }
    AdmissionActions& answer(AttemptId id, std::string body = "done")
    {
        HttpResponse http { .status = 200, .reason = "OK", .headers = {}, .body = std::move(body) };
        return run([&] { controller->targetAnswered(now, id, std::move(http), actions); });
    }
    AdmissionActions& lose(AttemptId id)
    {
        return run([&] { controller->targetLost(now, id, LossReason::TargetClosed, actions); });
    }
    AdmissionActions& advance(Duration duration)
    {
        now += duration;
        return run([&] { controller->tick(now, actions); });
    }
    template <typename Input> AdmissionActions& run(Input input)
    {
        actions.clear();
        input();
        return actions;
    }

    Instant now = instantFromMicroseconds(0);
    AdmissionActions actions;
    std::unique_ptr<AdmissionController> controller;
};

inline std::vector<AttemptId> startsIn(const AdmissionActions& actions)
{
    std::vector<AttemptId> ids;
    for (auto& it : actions) {
        if (auto* start = std::get_if<StartOnTarget>(&it))
            ids.push_back(start->id);
    }
    return ids;
}

// All replies of one alternative, to requests and queries alike.
template <typename Kind> std::vector<Kind> repliesIn(const AdmissionActions& actions)
{
    std::vector<Kind> replies;
    auto collect = [&](auto& reply) {
        if (auto* found = std::get_if<Kind>(&reply))
            replies.push_back(*found);
    };
    for (auto& it : actions) {
        if (auto* reply = std::get_if<AnswerQuery>(&it))
            collect(reply->reply);
        if constexpr (!std::is_same_v<Kind, CallPending>) {
            if (auto* reply = std::get_if<Reply>(&it))
                collect(reply->reply);
        }
    }
    return replies;
}

inline std::vector<RefusalReason> refusalsIn(const AdmissionActions& actions)
{
    std::vector<RefusalReason> reasons;
    for (auto& it : repliesIn<CallRefused>(actions))
        reasons.push_back(it.reason);
    return reasons;
}

} // namespace Berylport
