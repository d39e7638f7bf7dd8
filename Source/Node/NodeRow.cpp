// Row format, separated by spaces: node id and gossip endpoint, optionally instance id and start time of the departed
// target, and "refused=" with the fingerprint of each request that is refused.
#include "Node/NodeRow.h"

#include <charconv>
#include <sstream>

namespace Berylport {

namespace {

constexpr std::string_view refusedPrefix = "refused=";

} // namespace

std::string encodeNodeRow(const NodeRow& row)
{
    std::string text = toText(row.node) + " " + toText(row.gossip);
    if (row.departed)
        text += " " + row.departed->instance + " " + std::to_string(row.departed->startedAtMilliseconds);
    for (auto& it : row.refused)
        text += " " + std::string(refusedPrefix) + toText(it);
    return text;
}

std::optional<NodeRow> decodeNodeRow(std::string_view text)
{
    std::istringstream stream { std::string(text) };
    std::string node;
    std::string gossip;
    if (!(stream >> node >> gossip))
        return std::nullopt;
    auto id = parseNodeId(node);
    auto endpoint = parseEndpoint(gossip);
    if (!id || !endpoint)
        return std::nullopt;
    NodeRow row { .node = *id, .gossip = *endpoint, .departed = std::nullopt };
    std::string word;
    while (stream >> word) {
        if (word.starts_with(refusedPrefix)) {
            if (auto fingerprint = parseFingerprint(std::string_view(word).substr(refusedPrefix.size())))
                row.refused.push_back(*fingerprint);
            continue;
        }
        TargetIncarnation departed { .instance = word };
        if (stream >> departed.startedAtMilliseconds)
            row.departed = std::move(departed);
    }
    return row;
}

} // namespace Berylport
