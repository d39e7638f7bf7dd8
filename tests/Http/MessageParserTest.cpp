// Properties of the parsers over generated and damaged messages.
#include "Http/MessageParser.h"
#include "Base/Base.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <variant>
#include <vector>

namespace Berylport {

namespace {

constexpr ParseLimits smallLimits { .headBytes = 200, .bodyBytes = 60 };

// What a parser made of a stream: whole requests, then possibly a fault.
struct Reading {
    std::vector<HttpRequest> requests;
    std::optional<ParseFault> fault;
    bool operator==(const Reading&) const = default;
};

// Feeds the stream in pieces of the given sizes, over and over.
Reading readInPieces(std::string_view stream, const std::vector<size_t>& sizes)
{
    RequestParser parser(smallLimits);
    Reading reading;
    for (size_t i = 0; !stream.empty(); ++i) {
        auto piece = stream.substr(0, sizes[i % sizes.size()]);
        stream.remove_prefix(piece.size());
        while (!piece.empty()) {
            piece.remove_prefix(parser.feed(piece));
            if (parser.state() == MessageParser::State::Whole)
                reading.requests.push_back(parser.take());
            if (parser.state() == MessageParser::State::Faulty) {
                reading.fault = parser.fault();
                return reading;
            }
        }
    }
    return reading;
}

std::string makeRequest(bool isChunked, std::string_view body)
{
    std::string head = "POST /a HTTP/1.1\r\nHost: a\r\n";
    if (!isChunked)
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
    std::string out = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (char c : body)
        out += std::string("1\r\n") + c + "\r\n";
    return out + "0\r\n\r\n";
}

// Guards against bodies that are mistaken for requests, whatever bytes they hold.
RC_GTEST_PROP(MessageParserTest, ReadsBackWhatWasWritten, ())
{
    auto bodies = *rc::gen::container<std::vector<std::string>>(
        rc::gen::resize(50, rc::gen::container<std::string>(rc::gen::arbitrary<char>())));
    std::string stream;
    Reading expected;
    for (auto& body : bodies) {
        stream += makeRequest(*rc::gen::arbitrary<bool>(), body);
        expected.requests.push_back({ .method = "POST", .target = "/a", .headers = { { "Host", "a" } }, .body = body });
    }
    auto sizes = *rc::gen::nonEmpty(rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(1, 50)));
    RC_ASSERT(readInPieces(stream, sizes) == expected);
}

// Guards against a reading that depends on how the bytes fall into reads, also for damaged messages: the same bytes
// would run differently on two nodes.
RC_GTEST_PROP(MessageParserTest, ReadsDamagedStreamsTheSameInAnyPieces, ())
{
    auto stream = makeRequest(*rc::gen::arbitrary<bool>(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        + makeRequest(*rc::gen::arbitrary<bool>(), "x");
    auto damages = *rc::gen::inRange(1, 4);
    for (int i = 0; i < damages; ++i) {
        auto at = *rc::gen::inRange<size_t>(0, stream.size());
        auto c = *rc::gen::oneOf(rc::gen::elementOf(std::string("\r\n\t :,0+\0", 9)), rc::gen::arbitrary<char>());
        if (*rc::gen::arbitrary<bool>())
            stream[at] = c;
        else
            stream.insert(at, 1, c);
    }
    auto whole = readInPieces(stream, { stream.size() });
    auto sizes = *rc::gen::nonEmpty(rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(1, 20)));
    RC_ASSERT(readInPieces(stream, sizes) == whole);
    RC_ASSERT(readInPieces(stream, { 1 }) == whole);
}

// Guards against reads beyond the input or an endless loop on bytes that are no answer at all.
RC_GTEST_PROP(MessageParserTest, TakesAnyBytesAsAnAnswer, (const std::string& tail))
{
    ResponseParser parser(smallLimits);
    parser.expectAnswerTo("GET");
    auto stream
        = *rc::gen::elementOf(std::vector<std::string> { "", "HTTP/1.1 200 OK\r\n",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" })
        + tail;
    auto n = parser.feed(stream);
    RC_ASSERT(n <= stream.size());
    bool isOver = parser.state() == MessageParser::State::Whole || parser.state() == MessageParser::State::Faulty;
    RC_ASSERT(isOver || n == stream.size());
}

} // namespace

} // namespace Berylport
