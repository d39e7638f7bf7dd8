// One caller's connection: reads requests ahead, lets those begin that may, and has evhttp write the answers in order.
//
// evhttp knows of one request at a time, the oldest one. In its place it gets a placeholder ("GET / HTTP/1.1"), once
// the answer to the one before has been written, and it writes the answer that this connection gives it for that.
#pragma once

#include "Base/Overloaded.h"
#include "Http/EventPointers.h"
#include "Http/HttpServer.h"
#include "Http/LingeringSocket.h"
#include "Http/RequestPipeline.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <list>
#include <unordered_map>

namespace Berylport {

struct EvhttpDeleter {
    void operator()(evhttp* it) const { evhttp_free(it); }
};

// What the connections of one server share.
struct HttpServer::State {
    event_base* base;
    Handler handler;
    HttpServerOptions options;
    PipelineBudget budget;
    // Set from the start; needs the options.
    std::optional<MemoryBudget> memory;
    TimerPointer memoryTimer;
    bool isMemoryCheckDue { false };
    std::unique_ptr<evhttp, EvhttpDeleter> http;
    evhttp_bound_socket* bound { nullptr };
    bool isDraining { false };
    bool isClosing { false };
    std::list<std::unique_ptr<HttpConnection>> connections;
    std::unordered_map<evhttp_connection*, HttpConnection*> adopted;
    std::list<std::unique_ptr<LingeringSocket>> lingering;

    // Takes the descriptor.
    void linger(evutil_socket_t);
    void updateListener();
    // Ends connections in a later turn if the budget is exceeded.
    void checkMemory();
    void freeMemory();
    size_t connectionLimit() const { return size_t(options.maxConnections) + options.maxRefusedConnections; }
};

// One request that the handler has and the connection that waits for the answer, null when there is none.
class HttpExchange {
public:
    HttpExchange(HttpConnection* connection, uint64_t sequence, Instant readAt)
        : m_connection(connection)
        , m_sequence(sequence)
        , m_readAt(readAt)
    {
    }
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    void answer(HttpResponse);
    bool isOpen() const { return m_connection; }
    Instant readAt() const { return m_readAt; }
    void setGoneFunction(std::function<void()> function) { m_onGone = std::move(function); }
    // Ends the exchange without an answer and returns the function that tells the handler.
    std::function<void()> detach();

private:
    HttpConnection* m_connection;
    uint64_t m_sequence;
    Instant m_readAt;
    std::function<void()> m_onGone;
};

class HttpConnection {
public:
    HttpConnection(HttpServer::State&, bufferevent*, bool isRefused);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    // evhttp has read the placeholder and wants the answer to the oldest request.
    void handlePlaceholder(evhttp_request*);
    void answer(uint64_t sequence, HttpResponse);
    // The server drains: what has begun is answered, nothing else is read, and the connection ends.
    void closeAfterAnswers();

    MemoryBudget::Holder holder() const { return m_holder; }
    void updateHeld();
    // Returns whether the connection has ended, which deletes this object.
    bool closeForMemory();

private:
    // State of the request that is being read.
    enum class Reading : uint8_t {
        // No byte of it has come.
        Idle,
        Head,
        Body,
        // The connection ends after the requests it has.
        Ended,
    };
    // State of the oldest request in evhttp.
    enum class Writing : uint8_t {
        Nothing,
        // The placeholder is on its way through evhttp.
        Placed,
        // evhttp waits for the answer.
        Waiting,
        // evhttp writes the answer.
        Sending,
    };

    static void handleInput(evbuffer*, const evbuffer_cb_info*, void*);
    static void handleCallerReadable(evutil_socket_t, short, void*);
    static void handleReadTimer(evutil_socket_t, short, void*);
    static void handleWriteTimer(evutil_socket_t, short, void*);
    static void handleSent(evhttp_request*, void*);
    static void handleClosed(evhttp_connection*, void*);

    void adopt();
    void takeInput();
    // Reads requests as far as they may be read, and places the oldest one.
    void parse();
    bool mayParse() const;
    void takeParsed();
    void queueRefusal(HttpResponse);
    void sendContinueIfDue();
    void beginRequests();
    void begin(HttpRequest, uint64_t sequence);
    void place();
    void writeFront();
    void watchCaller();
    // Stops reading while more is read than may be parsed, and goes on when it was parsed.
    void updateReading();
    void heldChanged();
    void readAhead();
    void updateReadTimer();
    void readTimedOut();
    void writeTimedOut();
    void close();
    evutil_socket_t descriptor() const { return bufferevent_getfd(m_bufferevent); }

    HttpServer::State& m_server;
    // Holds a reference, because evhttp may free its own before this object has learnt of the connection.
    bufferevent* m_bufferevent;
    // Null until evhttp has set up the connection.
    evhttp_connection* m_evhttpConnection { nullptr };
    evbuffer_cb_entry* m_inputCallback;
    // What has been read and not parsed.
    BufferPointer m_raw { evbuffer_new() };
    RequestParser m_parser;
    // Of the request that is being parsed.
    size_t m_parsedBytes { 0 };
    RequestPipeline m_pipeline;
    Reading m_reading { Reading::Idle };
    Writing m_writing { Writing::Nothing };
    bool m_isRefused;
    Endpoint m_peer;
    TimerPointer m_readTimer;
    TimerPointer m_writeTimer;
    // Reads while evhttp does not, and notices when the caller goes. Set while Waiting or Sending.
    TimerPointer m_callerEvent;
    size_t m_placedBytes { 0 };
    // The answer that is being sent is the last one.
    bool m_closesAfterAnswer { false };
    // Set while the input buffer is changed by this object, whose callback must then do nothing.
    bool m_isPlacing { false };
    // Set while Waiting or Sending.
    evhttp_request* m_evhttpRequest { nullptr };
    size_t m_unsentBytes { 0 };
    MemoryBudget::Holder m_holder;
    bool m_isReadingStopped { false };
    // Unsent bytes at the latest count.
    size_t m_heldUnsentBytes { 0 };
};

} // namespace Berylport
