#include "Http/RequestPipeline.h"

#include <algorithm>
#include <utility>

namespace Berylport {

RequestPipeline::RequestPipeline(PipelineLimits limits, PipelineBudget& budget)
    : m_limits(limits)
    , m_budget(budget)
{
}

RequestPipeline::~RequestPipeline()
{
    m_requests.clear();
    updateBudget();
}

size_t RequestPipeline::answerBytes() const
{
    size_t bytes = 0;
    for (auto& it : m_requests)
        bytes += it.answer ? it.answer->body.size() : 0;
    return bytes;
}

size_t RequestPipeline::waitingBytes() const
{
    size_t bytes = 0;
    for (auto& it : m_requests)
        bytes += it.hasBegun() ? 0 : it.bytes;
    return bytes;
}

void RequestPipeline::updateBudget()
{
    auto requests = static_cast<uint32_t>(m_requests.empty() ? 0 : m_requests.size() - 1);
    size_t bytes = answerBytes() + waitingBytes();
    m_budget.requests += requests - std::exchange(m_countedRequests, requests);
    m_budget.bytes += bytes - std::exchange(m_countedBytes, bytes);
}

bool RequestPipeline::takesMore(size_t unfinishedBytes) const
{
    if (m_requests.empty())
        return true;
    if (m_requests.back().closesConnection)
        return false;
    return m_requests.size() <= m_limits.requests && waitingBytes() + unfinishedBytes < m_limits.requestBytes
        && m_budget.hasRoom();
}

void RequestPipeline::push(PipelinedRequest request)
{
    request.sequence = ++m_lastSequence;
    m_requests.push_back(std::move(request));
    updateBudget();
}

PipelinedRequest* RequestPipeline::next()
{
    for (auto& it : m_requests) {
        bool isOldest = &it == &m_requests.front();
        if (!it.hasBegun()) {
            bool mayBegin
                = it.runsBesideOthers && answerBytes() < m_limits.answerBytes && m_budget.bytes < m_budget.maximumBytes;
            return isOldest || mayBegin ? &it : nullptr;
        }
        if (!it.runsBesideOthers)
            return nullptr;
    }
    return nullptr;
}

std::optional<HttpRequest> RequestPipeline::beginNext(uint64_t& sequence)
{
    PipelinedRequest* found = next();
    if (!found)
        return std::nullopt;
    sequence = found->sequence;
    auto request = std::exchange(found->request, std::nullopt);
    updateBudget();
    return request;
}

PipelinedRequest* RequestPipeline::find(uint64_t sequence)
{
    auto it = std::ranges::find(m_requests, sequence, &PipelinedRequest::sequence);
    return it == m_requests.end() ? nullptr : &*it;
}

void RequestPipeline::answer(uint64_t sequence, HttpResponse response)
{
    if (PipelinedRequest* found = find(sequence))
        found->answer = std::move(response);
    updateBudget();
}

void RequestPipeline::pop()
{
    m_requests.pop_front();
    updateBudget();
}

void RequestPipeline::dropWaiting()
{
    if (m_requests.empty())
        return;
    auto waiting = std::find_if(m_requests.begin() + 1, m_requests.end(), [](auto& it) { return !it.hasBegun(); });
    m_requests.erase(waiting, m_requests.end());
    updateBudget();
}

} // namespace Berylport
