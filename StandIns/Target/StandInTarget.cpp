// Stand-in application server on evhttp.
#include "Target/StandInTarget.h"

#include "Http/EventPointers.h"
#include "Http/TargetClient.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <deque>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <iostream>
#include <map>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace Berylport {

namespace {

constexpr size_t maxBody = 8 * 1024 * 1024;
// Another process may hold the port for a moment.
constexpr Duration returnRetryTime = std::chrono::milliseconds(100);
constexpr int idleTimeoutSeconds = 600;
constexpr Duration announceTimeout = std::chrono::seconds(1);
// When the request names no deadline.
constexpr Duration defaultNestedTime = std::chrono::seconds(30);

struct EvhttpDeleter {
    void operator()(evhttp* it) const { evhttp_free(it); }
};

using Parameters = std::map<std::string, std::string, std::less<>>;

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number n {};
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && end == text.data() + text.size() && !text.empty() ? std::optional(n) : std::nullopt;
}

std::string quoteJson(std::string_view text)
{
    std::string out = "\"";
    for (char c : text) {
        if (static_cast<unsigned char>(c) < 0x20) {
            std::array<char, 8> buf;
            std::snprintf(buf.data(), buf.size(), "\\u%04x", static_cast<unsigned>(c));
            out += buf.data();
            continue;
        }
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    return out + "\"";
}

Parameters parameters(evhttp_request* request)
{
    Parameters out;
    auto* uri = evhttp_request_get_evhttp_uri(request);
    auto* query = uri ? evhttp_uri_get_query(uri) : nullptr;
    evkeyvalq list {};
    if (!query || evhttp_parse_query_str(query, &list))
        return out;
    for (auto* it = list.tqh_first; it; it = it->next.tqe_next)
        out.emplace(it->key, it->value);
    evhttp_clear_headers(&list);
    return out;
}

std::string header(evhttp_request* request, const char* name)
{
    auto* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value ? value : "";
}

std::string_view methodName(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OTHER";
    }
}

std::string bodyOf(evhttp_request* request)
{
    auto* buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

void sendText(evhttp_request* request, int status, const std::string& text, const char* type = "application/json")
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", type);
    BufferPointer body(evbuffer_new());
    evbuffer_add(body.get(), text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, body.get());
}

void applyParameters(TargetBehaviour& behaviour, const Parameters& parameters)
{
    auto number = [&]<typename Number>(std::string_view name, Number fallback) {
        auto it = parameters.find(name);
        return it == parameters.end() ? fallback : parseNumber<Number>(it->second).value_or(fallback);
    };
    auto text = [&](std::string_view name, std::string_view fallback) {
        auto it = parameters.find(name);
        return it == parameters.end() ? std::string(fallback) : it->second;
    };
    auto flag = [&](std::string_view name, bool fallback) { return number(name, uint32_t { fallback }) != 0; };

    behaviour.delay = std::chrono::milliseconds(number("delay", toMilliseconds(behaviour.delay)));
    behaviour.status = number("status", behaviour.status);
    behaviour.failsFast = flag("fail", behaviour.failsFast);
    behaviour.isFrozen = flag("freeze", behaviour.isFrozen);
    behaviour.awayTime = std::chrono::milliseconds(number("end", toMilliseconds(behaviour.awayTime)));
    behaviour.answer = parseAnswerMode(text("answer", "")).value_or(behaviour.answer);
    behaviour.padding = number("size", behaviour.padding);
    auto health = text("health", "");
    if (!health.empty())
        behaviour.claimedHealth = health == "good";
    if (parameters.contains("load"))
        behaviour.claimedLoad = number("load", uint32_t { 0 });
    behaviour.requestLimit = text("request-limit", behaviour.requestLimit);
    behaviour.isLeaving = flag("leaving", behaviour.isLeaving);
    behaviour.deduplicates = flag("deduplicate", behaviour.deduplicates);
    behaviour.nestedPort = number("nested-port", behaviour.nestedPort);
    behaviour.nestedService = text("nested-service", behaviour.nestedService);
    behaviour.nestedPath = text("nested-path", behaviour.nestedPath);
}

// What is sent back for a request, kept for duplicates.
struct Answer {
    uint16_t status { 200 };
    AnswerMode mode { AnswerMode::Whole };
    std::vector<HttpHeader> headers;
    std::string body;
};

void sendPartial(evhttp_request* request, const Answer& answer)
{
    auto* headers = evhttp_request_get_output_headers(request);
    auto sent = answer.body.size();
    if (answer.mode == AnswerMode::CloseInBody) {
        evhttp_add_header(headers, "Content-Length", std::to_string(answer.body.size()).c_str());
        sent /= 2;
    }
    evhttp_send_reply_start(request, answer.status, nullptr);
    BufferPointer body(evbuffer_new());
    evbuffer_add(body.get(), answer.body.data(), sent);
    if (answer.mode == AnswerMode::Chunked) {
        evhttp_send_reply_chunk(request, body.get());
        evhttp_send_reply_end(request);
        return;
    }
    evhttp_send_reply_chunk_with_cb(
        request, body.get(), [](evhttp_connection* it, void*) { evhttp_connection_free(it); }, nullptr);
}

void sendAnswer(evhttp_request* request, const Answer& answer)
{
    auto* headers = evhttp_request_get_output_headers(request);
    for (auto& it : answer.headers)
        evhttp_add_header(headers, it.name.c_str(), it.value.c_str());
    if (answer.mode != AnswerMode::Whole) {
        sendPartial(request, answer);
        return;
    }
    if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD) {
        evhttp_add_header(headers, "Content-Length", std::to_string(answer.body.size()).c_str());
        evhttp_send_reply(request, answer.status, nullptr, nullptr);
        return;
    }
    BufferPointer body(evbuffer_new());
    evbuffer_add(body.get(), answer.body.data(), answer.body.size());
    evhttp_send_reply(request, answer.status, nullptr, body.get());
}

// One request from its arrival until its answer.
struct Work {
    StandInTarget::State* target { nullptr };
    evhttp_request* request { nullptr };
    TargetBehaviour behaviour;
    std::string tag;
    std::string key;
    std::string parent;
    Answer answer;
    TimerPointer timer;
    std::unique_ptr<TargetClient> nestedClient;
};

// The first request with an Idempotency-Key: its answer once it has run, and the duplicates that wait for it.
struct KeyedExecution {
    std::optional<Answer> answer;
    std::vector<evhttp_request*> waiting;
};

} // namespace

struct StandInTarget::State {
    event_base* base;
    StandInTargetOptions options;
    TargetBehaviour behaviour;
    std::unique_ptr<evhttp, EvhttpDeleter> http;
    Endpoint endpoint;
    TimerPointer announceTimer;
    TimerPointer startTimer;
    TimerPointer drainTimer;
    TimerPointer returnTimer;
    std::unique_ptr<TargetClient> node;
    bool isStarting { false };
    bool isDraining { false };
    bool hasAnnouncedDrain { false };
    std::function<void()> onDrained;
    Instant lastRequest;
    std::map<std::string, uint32_t, std::less<>> executions;
    uint64_t total { 0 };
    std::set<std::unique_ptr<Work>> running;
    std::deque<std::unique_ptr<Work>> queued;
    std::map<std::string, KeyedExecution> keyed;

    void handle(evhttp_request*);
    void handleWork(evhttp_request*, std::string_view path);
    bool joinKnownKey(Work&);
    void startQueued();
    void run(std::unique_ptr<Work>);
    void finish(Work&);
    void callNested(Work&);
    void end(Work&);
    // Adds what the target tells its node about itself.
    void addTargetReport(evhttp_request*) const;
    void sendHealth(evhttp_request*);
    void sendLoad(evhttp_request*);
    void sendExecutions(evhttp_request*);
    void announce();
    void checkDrained();
    void createServer();
    // Empty when the address cannot be bound.
    std::optional<Endpoint> listen(const Endpoint&);
    void goAway(Duration);
    void comeBack();
    std::string_view stateText() const { return isDraining ? "draining" : isStarting ? "starting" : "ready"; }
};

std::optional<AnswerMode> parseAnswerMode(std::string_view text)
{
    for (auto it : { AnswerMode::Whole, AnswerMode::Chunked, AnswerMode::CloseInBody, AnswerMode::TruncateChunks }) {
        if (toText(it) == text)
            return it;
    }
    return std::nullopt;
}

std::string hashBody(std::string_view body)
{
    uint64_t hash = 0xCBF29CE484222325ull;
    for (char c : body)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3ull;
    std::array<char, 17> buf;
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(hash));
    return buf.data();
}

void StandInTarget::State::handle(evhttp_request* request)
{
    auto* uri = evhttp_request_get_evhttp_uri(request);
    auto* text = uri ? evhttp_uri_get_path(uri) : nullptr;
    std::string_view path = text ? text : "/";
    if (path == "/health")
        sendHealth(request);
    else if (path == "/load")
        sendLoad(request);
    else if (path == "/executions")
        sendExecutions(request);
    else if (path == "/behaviour" && evhttp_request_get_command(request) == EVHTTP_REQ_POST) {
        behaviour = options.behaviour;
        applyParameters(behaviour, parameters(request));
        sendText(request, 200, "{}\n");
    } else
        handleWork(request, path);
}

void StandInTarget::State::handleWork(evhttp_request* request, std::string_view path)
{
    lastRequest = steadyNow();
    if (isStarting) {
        sendText(request, 503, "{\"error\":\"starting\"}\n");
        return;
    }
    auto work = std::make_unique<Work>();
    work->target = this;
    work->request = request;
    work->behaviour = behaviour;
    applyParameters(work->behaviour, parameters(request));
    work->tag = header(request, "X-Request-Tag");
    work->key = header(request, "Idempotency-Key");
    work->parent = header(request, "Berylport-Parent");

    auto body = bodyOf(request);
    auto method = std::string(methodName(evhttp_request_get_command(request)));
    auto hash = hashBody(body);
    auto& answer = work->answer;
    answer.status = work->behaviour.failsFast ? 500 : work->behaviour.status;
    answer.mode = work->behaviour.answer;
    answer.headers = { { "Content-Type", "application/json" }, { "X-Request-Tag", work->tag },
        { "X-Request-Method", method }, { "X-Body-Hash", hash }, { "X-Target-Port", std::to_string(endpoint.port) } };
    // Names the request that the answer belongs to.
    if (!work->parent.empty())
        answer.headers.push_back({ "Berylport-Parent", work->parent });
    answer.body = "{\"tag\":" + quoteJson(work->tag) + ",\"method\":" + quoteJson(method)
        + ",\"hash\":" + quoteJson(hash) + ",\"path\":" + quoteJson(path) + ",\"padding\":\""
        + std::string(work->behaviour.padding, 'x') + "\"}\n";

    if (joinKnownKey(*work))
        return;
    queued.push_back(std::move(work));
    startQueued();
}

// Answers a duplicate, now or together with the first request.
bool StandInTarget::State::joinKnownKey(Work& work)
{
    if (!work.behaviour.deduplicates || work.key.empty())
        return false;
    auto [it, isNew] = keyed.try_emplace(work.key);
    if (isNew)
        return false;
    if (it->second.answer)
        sendAnswer(work.request, *it->second.answer);
    else
        it->second.waiting.push_back(work.request);
    return true;
}

void StandInTarget::State::startQueued()
{
    while (!queued.empty() && running.size() < options.slots) {
        auto work = std::move(queued.front());
        queued.pop_front();
        run(std::move(work));
    }
}

void StandInTarget::State::run(std::unique_ptr<Work> work)
{
    ++executions[work->tag];
    ++total;
    auto& it = *work;
    running.insert(std::move(work));
    if (it.behaviour.isFrozen)
        return;
    auto time = it.behaviour.failsFast ? Duration::zero() : options.serviceTime + it.behaviour.delay;
    it.timer.reset(evtimer_new(
        base,
        [](evutil_socket_t, short, void* argument) {
            auto& ready = *static_cast<Work*>(argument);
            if (ready.behaviour.awayTime > Duration::zero())
                ready.target->goAway(ready.behaviour.awayTime);
            else if (ready.behaviour.nestedPort && !ready.behaviour.failsFast)
                ready.target->callNested(ready);
            else
                ready.target->finish(ready);
        },
        &it));
    Berylport::startTimer(it.timer.get(), time);
}

void StandInTarget::State::callNested(Work& work)
{
    Endpoint nodeEndpoint { .address = options.node ? options.node->address : "127.0.0.1",
        .port = work.behaviour.nestedPort };
    work.nestedClient = std::make_unique<TargetClient>(base, nodeEndpoint);
    HttpRequest request { .method = "GET", .target = work.behaviour.nestedPath, .headers = {}, .body = {} };
    setHeader(request.headers, "Berylport-Service", work.behaviour.nestedService);
    setHeader(request.headers, "X-Request-Tag", work.tag + ".nested");
    if (!work.parent.empty())
        setHeader(request.headers, "Berylport-Parent", work.parent);
    auto timeLeft = parseNumber<int64_t>(header(work.request, "Berylport-Deadline-Ms"));
    auto time = timeLeft ? Duration(std::chrono::milliseconds(*timeLeft)) : defaultNestedTime;
    work.nestedClient->send(
        std::move(request), { .deadline = steadyNow() + time, .isIdempotent = true }, [this, &work](SendResult result) {
            auto& headers = work.answer.headers;
            if (auto* response = std::get_if<HttpResponse>(&result)) {
                setHeader(headers, "X-Nested-Status", std::to_string(response->status));
                setHeader(headers, "X-Nested-Outcome", findHeader(response->headers, "Berylport-Outcome").value_or(""));
                setHeader(headers, "X-Nested-Tag", findHeader(response->headers, "X-Request-Tag").value_or(""));
                if (response->status >= 500)
                    work.answer.status = 502;
            } else {
                setHeader(headers, "X-Nested-Status", std::holds_alternative<NotSent>(result) ? "not-sent" : "lost");
                work.answer.status = 502;
            }
            // The client may not be deleted while it delivers a result; the timer ends the work in the next turn.
            work.behaviour.nestedPort = 0;
            Berylport::startTimer(work.timer.get(), Duration::zero());
        });
}

void StandInTarget::State::finish(Work& work)
{
    auto it = keyed.find(work.key);
    if (work.behaviour.deduplicates && it != keyed.end()) {
        it->second.answer = work.answer;
        for (auto* waiting : std::exchange(it->second.waiting, {}))
            sendAnswer(waiting, work.answer);
    }
    addTargetReport(work.request);
    sendAnswer(work.request, work.answer);
    end(work);
}

void StandInTarget::State::end(Work& work)
{
    std::erase_if(running, [&](auto& it) { return it.get() == &work; });
    startQueued();
    checkDrained();
}

void StandInTarget::State::addTargetReport(evhttp_request* request) const
{
    auto* headers = evhttp_request_get_output_headers(request);
    if (!behaviour.requestLimit.empty())
        evhttp_add_header(headers, "Berylport-Request-Limit", behaviour.requestLimit.c_str());
    if (behaviour.isLeaving)
        evhttp_add_header(headers, "Berylport-Leaving", "1");
}

void StandInTarget::State::sendHealth(evhttp_request* request)
{
    addTargetReport(request);
    bool isHealthy = !isStarting && !isDraining && !behaviour.isFrozen && !behaviour.failsFast;
    isHealthy = behaviour.claimedHealth.value_or(isHealthy);
    sendText(request, isHealthy ? 200 : 503, isHealthy ? "{\"healthy\":true}\n" : "{\"healthy\":false}\n");
}

void StandInTarget::State::sendLoad(evhttp_request* request)
{
    auto load = behaviour.claimedLoad.value_or(static_cast<uint32_t>(running.size()));
    auto waiting = behaviour.claimedLoad ? 0 : queued.size();
    sendText(request, 200,
        "{\"slots\":" + std::to_string(options.slots) + ",\"running\":" + std::to_string(load)
            + ",\"queued\":" + std::to_string(waiting) + "}\n");
}

void StandInTarget::State::sendExecutions(evhttp_request* request)
{
    auto given = parameters(request);
    if (auto it = given.find("tag"); it != given.end()) {
        auto found = executions.find(it->second);
        auto n = found == executions.end() ? 0 : found->second;
        sendText(request, 200, "{\"tag\":" + quoteJson(it->second) + ",\"count\":" + std::to_string(n) + "}\n");
        return;
    }
    std::string out = "{\"total\":" + std::to_string(total) + ",\"executions\":{";
    const char* separator = "";
    for (auto& [tag, n] : executions) {
        out += separator + quoteJson(tag) + ":" + std::to_string(n);
        separator = ",";
    }
    sendText(request, 200, out + "}}\n");
}

void StandInTarget::State::announce()
{
    Berylport::startTimer(announceTimer.get(), options.announcePeriod);
    HttpRequest request { .method = "POST", .target = "/announce", .headers = {}, .body = {} };
    setHeader(request.headers, "Content-Type", "application/json");
    request.body = "{\"service\":" + quoteJson(options.service.text) + ",\"port\":" + std::to_string(endpoint.port)
        + ",\"slots\":" + std::to_string(options.slots) + ",\"state\":" + quoteJson(stateText()) + "}";
    bool saysDraining = isDraining;
    node->send(std::move(request), { .deadline = steadyNow() + announceTimeout, .isIdempotent = true },
        [this, saysDraining](const SendResult&) {
            // A node that cannot be reached gives this target no work either.
            hasAnnouncedDrain = hasAnnouncedDrain || saysDraining;
            checkDrained();
        });
}

void StandInTarget::State::checkDrained()
{
    if (!isDraining || !onDrained || !hasAnnouncedDrain || !running.empty() || !queued.empty())
        return;
    auto quiet = steadyNow() - lastRequest;
    if (quiet < options.drainQuietTime) {
        Berylport::startTimer(drainTimer.get(), options.drainQuietTime - quiet);
        return;
    }
    std::exchange(onDrained, nullptr)();
}

void StandInTarget::State::createServer()
{
    http.reset(evhttp_new(base));
    evhttp_set_timeout(http.get(), idleTimeoutSeconds);
    evhttp_set_max_body_size(http.get(), maxBody);
    evhttp_set_default_content_type(http.get(), nullptr);
    evhttp_set_allowed_methods(http.get(),
        EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS
            | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(
        http.get(), [](evhttp_request* request, void* it) { static_cast<State*>(it)->handle(request); }, this);
}

std::optional<Endpoint> StandInTarget::State::listen(const Endpoint& wanted)
{
    auto* bound = evhttp_bind_socket_with_handle(http.get(), wanted.address.c_str(), wanted.port);
    if (!bound)
        return std::nullopt;
    sockaddr_in local {};
    socklen_t length = sizeof(local);
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&local), &length);
    return Endpoint { .address = wanted.address, .port = ntohs(local.sin_port) };
}

void StandInTarget::State::goAway(Duration duration)
{
    evtimer_del(announceTimer.get());
    http.reset();
    queued.clear();
    running.clear();
    keyed.clear();
    Berylport::startTimer(returnTimer.get(), duration);
}

void StandInTarget::State::comeBack()
{
    createServer();
    if (!listen(endpoint)) {
        std::cerr << "cannot listen on " << toText(endpoint) << " again\n";
        Berylport::startTimer(returnTimer.get(), returnRetryTime);
        return;
    }
    if (node)
        announce();
}

StandInTarget::StandInTarget(event_base* base, StandInTargetOptions options)
    : m_state(std::make_unique<State>())
{
    auto& state = *m_state;
    state.base = base;
    state.options = std::move(options);
    state.behaviour = state.options.behaviour;
    state.createServer();
    state.drainTimer.reset(evtimer_new(
        base, [](evutil_socket_t, short, void* it) { static_cast<State*>(it)->checkDrained(); }, &state));
    state.returnTimer.reset(evtimer_new(
        base, [](evutil_socket_t, short, void* it) { static_cast<State*>(it)->comeBack(); }, &state));
    state.announceTimer.reset(evtimer_new(
        base, [](evutil_socket_t, short, void* it) { static_cast<State*>(it)->announce(); }, &state));
    state.startTimer.reset(evtimer_new(
        base,
        [](evutil_socket_t, short, void* it) {
            auto& started = *static_cast<State*>(it);
            started.isStarting = false;
            if (started.node)
                started.announce();
        },
        &state));
}

StandInTarget::~StandInTarget() = default;

std::optional<Endpoint> StandInTarget::listen()
{
    auto& state = *m_state;
    auto endpoint = state.listen(state.options.listen);
    if (!endpoint)
        return std::nullopt;
    state.endpoint = *endpoint;
    state.isStarting = state.options.startDelay.count() > 0;
    if (state.isStarting)
        startTimer(state.startTimer.get(), state.options.startDelay);
    if (state.options.node) {
        state.node = std::make_unique<TargetClient>(state.base, *state.options.node);
        state.announce();
    }
    return state.endpoint;
}

void StandInTarget::drain(std::function<void()> onDrained)
{
    auto& state = *m_state;
    state.isDraining = true;
    state.onDrained = std::move(onDrained);
    state.hasAnnouncedDrain = !state.node;
    state.lastRequest = steadyNow();
    if (state.node)
        state.announce();
    state.checkDrained();
}

uint32_t StandInTarget::executionCount(std::string_view tag) const
{
    auto it = m_state->executions.find(tag);
    return it == m_state->executions.end() ? 0 : it->second;
}

uint64_t StandInTarget::totalExecutions() const { return m_state->total; }

} // namespace Berylport
