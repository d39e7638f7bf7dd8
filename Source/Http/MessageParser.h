// Strict incremental parsers of HTTP/1.1 messages. They refuse whatever two implementations might frame differently,
// because a load balancer that forwards such a message can give one caller another's answer. No sockets, no clock.
#pragma once

#include "Base/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

enum class ParseFault : uint8_t {
    BadRequestLine,
    BadStatusLine,
    BadHeader,
    BareLineFeed,
    ControlByte,
    ObsoleteFolding,
    SpaceBeforeColon,
    MissingHost,
    RepeatedHost,
    BadContentLength,
    RepeatedContentLength,
    LengthAndCoding,
    CodingInOldVersion,
    UnknownTransferCoding,
    UnknownMethod,
    UnsupportedVersion,
    UnknownExpectation,
    HeadTooLarge,
    BodyTooLarge,
    LengthRequired,
    BodyNotAllowed,
    BadChunk,
    // The end of the answer would be the end of the connection, which a crash of the target may look like too.
    CloseDelimited,
    TooManyInterimAnswers,
    UnexpectedUpgrade,
};

constexpr std::string_view toText(ParseFault fault)
{
    switch (fault) {
    case ParseFault::BadRequestLine:
        return "bad-request-line";
    case ParseFault::BadStatusLine:
        return "bad-status-line";
    case ParseFault::BadHeader:
        return "bad-header";
    case ParseFault::BareLineFeed:
        return "bare-line-feed";
    case ParseFault::ControlByte:
        return "control-byte";
    case ParseFault::ObsoleteFolding:
        return "obsolete-folding";
    case ParseFault::SpaceBeforeColon:
        return "space-before-colon";
    case ParseFault::MissingHost:
        return "missing-host";
    case ParseFault::RepeatedHost:
        return "repeated-host";
    case ParseFault::BadContentLength:
        return "bad-content-length";
    case ParseFault::RepeatedContentLength:
        return "repeated-content-length";
    case ParseFault::LengthAndCoding:
        return "content-length-and-transfer-encoding";
    case ParseFault::CodingInOldVersion:
        return "transfer-encoding-in-http-1.0";
    case ParseFault::UnknownTransferCoding:
        return "unknown-transfer-coding";
    case ParseFault::UnknownMethod:
        return "unknown-method";
    case ParseFault::UnsupportedVersion:
        return "unsupported-version";
    case ParseFault::UnknownExpectation:
        return "unknown-expectation";
    case ParseFault::HeadTooLarge:
        return "headers-too-large";
    case ParseFault::BodyTooLarge:
        return "body-too-large";
    case ParseFault::LengthRequired:
        return "length-required";
    case ParseFault::BodyNotAllowed:
        return "body-not-allowed";
    case ParseFault::BadChunk:
        return "bad-chunk";
    case ParseFault::CloseDelimited:
        return "close-delimited";
    case ParseFault::TooManyInterimAnswers:
        return "too-many-interim-answers";
    case ParseFault::UnexpectedUpgrade:
        return "unexpected-upgrade";
    }
    return "unknown";
}

// The status with which a server refuses a request that has this fault.
constexpr uint16_t statusOf(ParseFault fault)
{
    switch (fault) {
    case ParseFault::UnknownTransferCoding:
    case ParseFault::UnknownMethod:
        return 501;
    case ParseFault::UnsupportedVersion:
        return 505;
    case ParseFault::UnknownExpectation:
        return 417;
    case ParseFault::HeadTooLarge:
        return 431;
    case ParseFault::BodyTooLarge:
        return 413;
    case ParseFault::LengthRequired:
        return 411;
    default:
        return 400;
    }
}

struct ParseLimits {
    // Start line and headers, those of interim answers included, and also the trailers of a chunked body.
    size_t headBytes { 16 * 1024 };
    size_t bodyBytes { 1024 * 1024 };
    // An answer without a length may end with its connection.
    bool allowsCloseDelimited { false };
};

class MessageParser {
public:
    enum class State : uint8_t {
        Head,
        Body,
        Whole,
        Faulty,
    };

    virtual ~MessageParser() = default;
    MessageParser(const MessageParser&) = delete;
    MessageParser& operator=(const MessageParser&) = delete;

    // Takes bytes up to the end of the message and returns how many it took. Takes none when whole or faulty.
    size_t feed(std::string_view);
    State state() const { return m_state; }
    ParseFault fault() const { return m_fault; }
    // True once any byte of the message has been taken.
    bool hasBegun() const { return m_state != State::Head || !m_head.empty(); }
    // Memory that holds what has been taken of the message.
    size_t heldBytes() const { return m_head.capacity() + m_body.capacity() + m_chunkLine.capacity(); }
    // The body ends only when its sender closes the connection in order.
    bool endsWithConnection() const { return m_state == State::Body && m_framing == Framing::UntilClose; }
    // The connection was closed in order. Makes a message whole that ends with it.
    void connectionEnded();
    // True when the connection may carry another message after this one.
    bool isKeptAlive() const { return m_isKeptAlive; }

protected:
    MessageParser(ParseLimits limits, bool skipsEmptyLine)
        : m_limits(limits)
        , m_skipsEmptyLine(skipsEmptyLine)
    {
    }

    enum class Framing : uint8_t {
        None,
        Length,
        Chunked,
        // The body ends with the connection.
        UntilClose,
    };

    // Length and coding as the headers state them.
    struct StatedFraming {
        std::optional<uint64_t> length;
        bool isChunked { false };
    };

    // Parses the lines of a whole head and calls beginBody, or returns the first fault.
    virtual std::optional<ParseFault> parseHead(std::string_view startLine, std::string_view headerLines) = 0;

    std::optional<ParseFault> parseHeaders(std::string_view lines);
    std::optional<ParseFault> readStatedFraming(bool isOldVersion, StatedFraming&) const;
    std::optional<ParseFault> beginBody(Framing, uint64_t length);
    // Drops the head just read, for an interim answer; a fault when there have been too many.
    std::optional<ParseFault> skipInterim();
    void reset();
    size_t headerCount(std::string_view name) const;

    const ParseLimits& limits() const { return m_limits; }

    std::vector<HttpHeader> m_headers;
    std::string m_body;
    bool m_isKeptAlive { true };

private:
    void restartHead();

    enum class ChunkStep : uint8_t {
        Size,
        Data,
        DataEnd,
        Trailer,
    };

    size_t feedHead(std::string_view);
    size_t feedBody(std::string_view);
    size_t feedUntilClose(std::string_view);
    size_t feedChunked(std::string_view);
    size_t feedChunkLine(std::string_view);
    void endChunkLine();
    void beginChunk(std::string_view line);
    void fail(ParseFault);

    ParseLimits m_limits;
    // RFC 9112 section 2.2 asks servers to skip an empty line before the start line; one is enough for old clients.
    bool m_skipsEmptyLine;
    State m_state { State::Head };
    ParseFault m_fault { ParseFault::BadHeader };
    // Bytes of the head so far; no byte has been accepted that breaks the rules on line ends and control bytes.
    std::string m_head;
    // Bytes of interim answers before this head.
    size_t m_interimBytes { 0 };
    uint32_t m_interimAnswers { 0 };
    // Start of the line that is being read, within m_head.
    size_t m_lineStart { 0 };
    Framing m_framing { Framing::None };
    // Bytes of the body, or of the current chunk, that are still to come.
    uint64_t m_remaining { 0 };
    ChunkStep m_chunkStep { ChunkStep::Size };
    std::string m_chunkLine;
    size_t m_trailerBytes { 0 };
    // Of all chunk lines of the body; many small chunks must not exceed the body's own limit unnoticed.
    size_t m_chunkLineBytes { 0 };
};

class RequestParser final : public MessageParser {
public:
    explicit RequestParser(ParseLimits limits)
        : MessageParser(limits, true)
    {
    }

    // The request, once whole: hop-by-hop headers, Expect and Content-Length removed, chunked body decoded.
    // The parser is then ready for the next request.
    HttpRequest take();
    bool isHead() const { return m_request.method == "HEAD"; }
    // The head is whole and the caller waits for "100 Continue" before it sends the body.
    bool expectsContinue() const { return state() == State::Body && m_expectsContinue; }
    void clearExpectation() { m_expectsContinue = false; }

private:
    std::optional<ParseFault> parseHead(std::string_view startLine, std::string_view headerLines) override;
    std::optional<ParseFault> parseRequestLine(std::string_view);
    std::optional<ParseFault> checkHost() const;
    std::optional<ParseFault> readExpectation();
    std::optional<ParseFault> chooseFraming();

    HttpRequest m_request;
    bool m_isOldVersion { false };
    bool m_expectsContinue { false };
};

class ResponseParser final : public MessageParser {
public:
    explicit ResponseParser(ParseLimits limits)
        : MessageParser(limits, false)
    {
    }

    // Prepares for the answer to a request with this method.
    void expectAnswerTo(std::string_view method);
    // The final answer, once whole: interim answers skipped, hop-by-hop headers removed, chunked body decoded.
    // Content-Length stays only where it describes a body that is not sent (HEAD, 304).
    HttpResponse take();

private:
    std::optional<ParseFault> parseHead(std::string_view startLine, std::string_view headerLines) override;
    std::optional<ParseFault> parseStatusLine(std::string_view);
    std::optional<ParseFault> chooseFraming();

    HttpResponse m_response;
    bool m_isOldVersion { false };
    bool m_isAnswerToHead { false };
};

} // namespace Berylport
