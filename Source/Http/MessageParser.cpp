// Strict incremental parsers of HTTP/1.1 messages.
#include "Http/MessageParser.h"

#include "Http/HttpSyntax.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Berylport {

namespace {

// Longest chunk-size line; real ones have a few digits, and extensions are ignored.
constexpr size_t maxChunkLine = 256;
// Enough for any length that fits a limit, and too few to overflow 64 bits.
constexpr size_t maxLengthDigits = 18;
constexpr size_t maxChunkDigits = 15;
// Interim answers before the final one; real servers send one or two.
constexpr uint32_t maxInterimAnswers = 8;

bool isDigit(char c) { return c >= '0' && c <= '9'; }

// Control bytes that may not occur in a head; CR and LF are checked by the line rules, tab by the header rules.
bool isForbiddenControl(char c)
{
    auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && byte != '\r' && byte != '\n' && byte != '\t') || byte == 0x7F;
}

// Digits only: a sign, a space or a list is a fault, because implementations read those differently.
std::optional<uint64_t> parseLength(std::string_view text)
{
    if (text.empty() || text.size() > maxLengthDigits || !std::ranges::all_of(text, isDigit))
        return std::nullopt;
    uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

// The size of a chunk line "size[;extension]". A space after the size is a fault.
std::optional<uint64_t> parseChunkSize(std::string_view line)
{
    auto digits = line.substr(0, std::min(line.find(';'), line.size()));
    uint64_t n = 0;
    auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), n, 16);
    if (digits.empty() || digits.size() > maxChunkDigits || ec != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return n;
}

enum class VersionClass : uint8_t {
    Old,
    Current,
    Unsupported,
    Malformed,
};

VersionClass classifyVersion(std::string_view text)
{
    if (text == "HTTP/1.1")
        return VersionClass::Current;
    if (text == "HTTP/1.0")
        return VersionClass::Old;
    bool hasForm
        = text.size() == 8 && text.starts_with("HTTP/") && isDigit(text[5]) && text[6] == '.' && isDigit(text[7]);
    return hasForm ? VersionClass::Unsupported : VersionClass::Malformed;
}

bool isHostCharacter(char c)
{
    return isToken({ &c, 1 }) || c == ':' || c == '[' || c == ']' || c == '(' || c == ')' || c == ';' || c == '=';
}

} // namespace

size_t MessageParser::feed(std::string_view bytes)
{
    size_t taken = 0;
    while (m_state == State::Head && taken < bytes.size())
        taken += feedHead(bytes.substr(taken));
    while (m_state == State::Body && taken < bytes.size())
        taken += feedBody(bytes.substr(taken));
    return taken;
}

// Takes one line or what there is of it. Each byte is checked as it comes, so a fault is found before the head ends.
size_t MessageParser::feedHead(std::string_view bytes)
{
    size_t taken = 0;
    for (char c : bytes) {
        ++taken;
        bool followsReturn = !m_head.empty() && m_head.back() == '\r';
        if (m_interimBytes + m_head.size() >= m_limits.headBytes) {
            fail(ParseFault::HeadTooLarge);
            return taken;
        }
        if (isForbiddenControl(c) || (followsReturn && c != '\n')) {
            fail(ParseFault::ControlByte);
            return taken;
        }
        if (c == '\n' && !followsReturn) {
            fail(ParseFault::BareLineFeed);
            return taken;
        }
        m_head += c;
        if (c == '\n')
            break;
    }
    if (!m_head.ends_with("\r\n"))
        return taken;
    if (m_head.size() - m_lineStart > 2) {
        m_lineStart = m_head.size();
        return taken;
    }
    if (!m_lineStart && m_skipsEmptyLine) {
        m_lineStart = 2;
        return taken;
    }
    std::string_view head(m_head);
    head.remove_suffix(2);
    if (head.starts_with("\r\n"))
        head.remove_prefix(2);
    if (head.empty()) {
        fail(ParseFault::BadHeader);
        return taken;
    }
    auto lineEnd = head.find("\r\n");
    if (auto fault = parseHead(head.substr(0, lineEnd), head.substr(lineEnd + 2)))
        fail(*fault);
    return taken;
}

size_t MessageParser::feedBody(std::string_view bytes)
{
    if (m_framing == Framing::Chunked)
        return feedChunked(bytes);
    if (m_framing == Framing::UntilClose)
        return feedUntilClose(bytes);
    auto n = static_cast<size_t>(std::min<uint64_t>(m_remaining, bytes.size()));
    m_body.append(bytes.substr(0, n));
    m_remaining -= n;
    if (!m_remaining)
        m_state = State::Whole;
    return n;
}

size_t MessageParser::feedUntilClose(std::string_view bytes)
{
    if (bytes.size() > m_limits.bodyBytes - m_body.size()) {
        fail(ParseFault::BodyTooLarge);
        return bytes.size();
    }
    m_body.append(bytes);
    return bytes.size();
}

size_t MessageParser::feedChunked(std::string_view bytes)
{
    if (m_chunkStep != ChunkStep::Data)
        return feedChunkLine(bytes);
    auto n = static_cast<size_t>(std::min<uint64_t>(m_remaining, bytes.size()));
    m_body.append(bytes.substr(0, n));
    m_remaining -= n;
    if (!m_remaining)
        m_chunkStep = ChunkStep::DataEnd;
    return n;
}

size_t MessageParser::feedChunkLine(std::string_view bytes)
{
    auto limit = m_chunkStep == ChunkStep::Trailer ? m_limits.headBytes : maxChunkLine;
    size_t taken = 0;
    for (char c : bytes) {
        ++taken;
        bool followsReturn = !m_chunkLine.empty() && m_chunkLine.back() == '\r';
        if (isForbiddenControl(c) || (followsReturn != (c == '\n')) || m_chunkLine.size() >= limit) {
            fail(ParseFault::BadChunk);
            return taken;
        }
        m_chunkLine += c;
        if (c == '\n') {
            endChunkLine();
            return taken;
        }
    }
    return taken;
}

void MessageParser::endChunkLine()
{
    auto text = std::exchange(m_chunkLine, {});
    std::string_view line(text);
    line.remove_suffix(2);
    m_chunkLineBytes += text.size();
    if (m_chunkLineBytes > m_limits.bodyBytes + m_limits.headBytes) {
        fail(ParseFault::BodyTooLarge);
        return;
    }
    switch (m_chunkStep) {
    case ChunkStep::Size:
        beginChunk(line);
        return;
    case ChunkStep::DataEnd:
        if (!line.empty())
            fail(ParseFault::BadChunk);
        m_chunkStep = ChunkStep::Size;
        return;
    case ChunkStep::Trailer:
        // Trailers are dropped: RFC 9110 section 6.5.1 forbids merging them into the headers unasked.
        m_trailerBytes += text.size();
        if (m_trailerBytes > m_limits.headBytes)
            fail(ParseFault::HeadTooLarge);
        else if (line.empty())
            m_state = State::Whole;
        return;
    case ChunkStep::Data:
        return;
    }
}

void MessageParser::beginChunk(std::string_view line)
{
    auto size = parseChunkSize(line);
    if (!size) {
        fail(ParseFault::BadChunk);
        return;
    }
    if (*size > m_limits.bodyBytes - m_body.size()) {
        fail(ParseFault::BodyTooLarge);
        return;
    }
    m_remaining = *size;
    m_chunkStep = *size ? ChunkStep::Data : ChunkStep::Trailer;
}

void MessageParser::fail(ParseFault fault)
{
    m_fault = fault;
    m_state = State::Faulty;
}

std::optional<ParseFault> MessageParser::parseHeaders(std::string_view lines)
{
    while (!lines.empty()) {
        auto end = lines.find("\r\n");
        auto line = lines.substr(0, end);
        lines.remove_prefix(end + 2);
        if (line.front() == ' ' || line.front() == '\t')
            return ParseFault::ObsoleteFolding;
        auto colon = line.find(':');
        if (colon == std::string_view::npos)
            return ParseFault::BadHeader;
        auto name = line.substr(0, colon);
        if (name.ends_with(' ') || name.ends_with('\t'))
            return ParseFault::SpaceBeforeColon;
        if (!isToken(name))
            return ParseFault::BadHeader;
        m_headers.push_back({ .name = std::string(name), .value = std::string(trimSpace(line.substr(colon + 1))) });
    }
    return std::nullopt;
}

std::optional<ParseFault> MessageParser::readStatedFraming(bool isOldVersion, StatedFraming& framing) const
{
    auto codings = headerCount("Transfer-Encoding");
    auto lengths = headerCount("Content-Length");
    if (codings && lengths)
        return ParseFault::LengthAndCoding;
    if (codings && isOldVersion)
        return ParseFault::CodingInOldVersion;
    if (codings > 1 || (codings && !equalsIgnoringCase(*findHeader(m_headers, "Transfer-Encoding"), "chunked")))
        return ParseFault::UnknownTransferCoding;
    // Equal values would be unambiguous, but no client sends them, and a repeated header marks a confused sender.
    if (lengths > 1)
        return ParseFault::RepeatedContentLength;
    framing.isChunked = codings;
    if (!lengths)
        return std::nullopt;
    framing.length = parseLength(*findHeader(m_headers, "Content-Length"));
    if (!framing.length)
        return ParseFault::BadContentLength;
    return std::nullopt;
}

std::optional<ParseFault> MessageParser::beginBody(Framing framing, uint64_t length)
{
    if (length > m_limits.bodyBytes)
        return ParseFault::BodyTooLarge;
    m_framing = framing;
    m_remaining = length;
    m_chunkStep = ChunkStep::Size;
    bool hasBody = framing == Framing::Chunked || framing == Framing::UntilClose || length;
    m_state = hasBody ? State::Body : State::Whole;
    return std::nullopt;
}

void MessageParser::restartHead()
{
    m_head.clear();
    m_lineStart = 0;
    m_headers.clear();
}

std::optional<ParseFault> MessageParser::skipInterim()
{
    m_interimBytes += m_head.size();
    if (++m_interimAnswers > maxInterimAnswers)
        return ParseFault::TooManyInterimAnswers;
    restartHead();
    return std::nullopt;
}

void MessageParser::connectionEnded()
{
    if (endsWithConnection())
        m_state = State::Whole;
}

void MessageParser::reset()
{
    restartHead();
    m_interimBytes = 0;
    m_interimAnswers = 0;
    m_state = State::Head;
    m_body.clear();
    m_isKeptAlive = true;
    m_chunkLine.clear();
    m_trailerBytes = 0;
    m_chunkLineBytes = 0;
}

size_t MessageParser::headerCount(std::string_view name) const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_headers, [&](auto& it) { return equalsIgnoringCase(it.name, name); }));
}

HttpRequest RequestParser::take()
{
    removeHopByHopHeaders(m_headers);
    removeHeader(m_headers, "Content-Length");
    m_request.headers = std::move(m_headers);
    m_request.body = std::move(m_body);
    m_expectsContinue = false;
    reset();
    return std::exchange(m_request, {});
}

std::optional<ParseFault> RequestParser::parseHead(std::string_view startLine, std::string_view headerLines)
{
    if (auto fault = parseRequestLine(startLine))
        return fault;
    if (auto fault = parseHeaders(headerLines))
        return fault;
    if (auto fault = checkHost())
        return fault;
    if (auto fault = chooseFraming())
        return fault;
    m_isKeptAlive = !m_isOldVersion && !hasElement(m_headers, "Connection", "close");
    return readExpectation();
}

std::optional<ParseFault> RequestParser::parseRequestLine(std::string_view line)
{
    auto methodEnd = line.find(' ');
    auto targetEnd = line.rfind(' ');
    if (methodEnd == std::string_view::npos || targetEnd <= methodEnd)
        return ParseFault::BadRequestLine;
    auto method = line.substr(0, methodEnd);
    auto target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    auto version = classifyVersion(line.substr(targetEnd + 1));
    if (!isToken(method) || !isRequestTarget(target) || version == VersionClass::Malformed)
        return ParseFault::BadRequestLine;
    if (version == VersionClass::Unsupported)
        return ParseFault::UnsupportedVersion;
    if (!isKnownMethod(method))
        return ParseFault::UnknownMethod;
    // The absolute form would name a second host beside the Host header.
    if (target.front() != '/' && (target != "*" || method != "OPTIONS"))
        return ParseFault::BadRequestLine;
    m_isOldVersion = version == VersionClass::Old;
    m_request.method = method;
    m_request.target = target;
    return std::nullopt;
}

std::optional<ParseFault> RequestParser::checkHost() const
{
    auto n = headerCount("Host");
    if (n > 1)
        return ParseFault::RepeatedHost;
    if (!n)
        return m_isOldVersion ? std::nullopt : std::optional(ParseFault::MissingHost);
    auto value = *findHeader(m_headers, "Host");
    if (value.empty())
        return ParseFault::MissingHost;
    return std::ranges::all_of(value, isHostCharacter) ? std::nullopt : std::optional(ParseFault::BadHeader);
}

std::optional<ParseFault> RequestParser::chooseFraming()
{
    StatedFraming stated;
    if (auto fault = readStatedFraming(m_isOldVersion, stated))
        return fault;
    bool hasBody = stated.isChunked || stated.length.value_or(0);
    // Servers differ on whether such a body exists; one that skips it would run its bytes as the next request.
    if (hasBody && !needsLength(m_request.method))
        return ParseFault::BodyNotAllowed;
    if (!stated.isChunked && !stated.length && needsLength(m_request.method))
        return ParseFault::LengthRequired;
    if (stated.isChunked)
        return beginBody(Framing::Chunked, 0);
    return beginBody(hasBody ? Framing::Length : Framing::None, stated.length.value_or(0));
}

std::optional<ParseFault> RequestParser::readExpectation()
{
    auto n = headerCount("Expect");
    if (!n || m_isOldVersion)
        return std::nullopt;
    if (n > 1 || !equalsIgnoringCase(*findHeader(m_headers, "Expect"), "100-continue"))
        return ParseFault::UnknownExpectation;
    m_expectsContinue = true;
    return std::nullopt;
}

void ResponseParser::expectAnswerTo(std::string_view method)
{
    reset();
    m_response = {};
    m_isAnswerToHead = method == "HEAD";
}

HttpResponse ResponseParser::take()
{
    removeHopByHopHeaders(m_headers);
    if (!m_isAnswerToHead && m_response.status != 304)
        removeHeader(m_headers, "Content-Length");
    m_response.headers = std::move(m_headers);
    m_response.body = std::move(m_body);
    reset();
    return std::exchange(m_response, {});
}

std::optional<ParseFault> ResponseParser::parseHead(std::string_view startLine, std::string_view headerLines)
{
    if (auto fault = parseStatusLine(startLine))
        return fault;
    if (auto fault = parseHeaders(headerLines))
        return fault;
    if (m_response.status == 101)
        return ParseFault::UnexpectedUpgrade;
    if (m_response.status < 200)
        return skipInterim();
    m_isKeptAlive = !m_isOldVersion && !hasElement(m_headers, "Connection", "close");
    return chooseFraming();
}

std::optional<ParseFault> ResponseParser::parseStatusLine(std::string_view line)
{
    auto version = classifyVersion(line.substr(0, 8));
    if (version != VersionClass::Old && version != VersionClass::Current)
        return ParseFault::BadStatusLine;
    auto rest = line.substr(8);
    if (rest.size() < 4 || rest[0] != ' ' || !std::ranges::all_of(rest.substr(1, 3), isDigit))
        return ParseFault::BadStatusLine;
    if (rest.size() > 4 && rest[4] != ' ')
        return ParseFault::BadStatusLine;
    auto status = *parseLength(rest.substr(1, 3));
    if (status < 100 || status > 599)
        return ParseFault::BadStatusLine;
    m_isOldVersion = version == VersionClass::Old;
    m_response.status = static_cast<uint16_t>(status);
    m_response.reason = rest.substr(std::min<size_t>(5, rest.size()));
    return std::nullopt;
}

std::optional<ParseFault> ResponseParser::chooseFraming()
{
    StatedFraming stated;
    if (auto fault = readStatedFraming(m_isOldVersion, stated))
        return fault;
    if (m_isAnswerToHead || m_response.status == 204 || m_response.status == 304)
        return beginBody(Framing::None, 0);
    if (stated.isChunked)
        return beginBody(Framing::Chunked, 0);
    if (!stated.length) {
        if (!limits().allowsCloseDelimited)
            return ParseFault::CloseDelimited;
        m_isKeptAlive = false;
        return beginBody(Framing::UntilClose, 0);
    }
    return beginBody(*stated.length ? Framing::Length : Framing::None, *stated.length);
}

} // namespace Berylport
