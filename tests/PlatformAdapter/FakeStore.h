// The platform's store on loopback, with the faults that a test chooses.
#pragma once

#include "Http/Http.h"
#include "platform/WireJson.h"

#include <charconv>
#include <kj/encoding.h>
#include <map>
#include <vector>

namespace Berylport::Wire {

class FakeStore {
public:
    explicit FakeStore(event_base* base)
        : m_server(base,
            [this](
                const HttpRequest& request, const Endpoint&, const Responder& responder) { serve(request, responder); })
        , m_endpoint(m_server.listen({ .address = "127.0.0.1", .port = 0 }).value())
    {
    }

    const Endpoint& endpoint() const { return m_endpoint; }

    // As the operator writes it.
    void write(const std::string& table, const std::string& key, const std::string& value)
    {
        store(table, key, { .value = value, .version = ++m_version });
    }
    void remove(const std::string& table, const std::string& key)
    {
        store(table, key, { .value = {}, .version = ++m_version, .isRemoved = true });
    }
    std::string read(const std::string& table, const std::string& key) const
    {
        auto it = m_rows.find({ table, key });
        return it == m_rows.end() ? "" : it->second.value;
    }
    // The store comes back from an older copy: what was written since is gone, and versions are given out again.
    void copy() { m_copy = { .rows = m_rows, .version = m_version }; }
    void restore()
    {
        m_rows = m_copy.rows;
        m_version = m_copy.version;
        ++m_era;
        m_followers.clear();
    }
    void forgetHistory() { m_forgottenUpTo = ++m_version; }

    // Instead of any answer; zero for none.
    uint16_t status { 0 };
    // Calls are not answered.
    bool isSilent { false };
    // Rows of one answer.
    size_t page { 500 };
    int calls { 0 };

private:
    struct Row {
        std::string value;
        uint64_t version { 0 };
        // Kept for the feed only.
        bool isRemoved { false };
    };
    struct Follower {
        std::string table;
        uint64_t after { 0 };
        Responder responder;
    };

    void store(const std::string& table, const std::string& key, Row row)
    {
        m_rows[{ table, key }] = std::move(row);
        for (auto& it : std::exchange(m_followers, {}))
            answerFeed(it.table, it.after, it.responder);
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        size_t position = target.find(name + "=");
        if (position == std::string::npos)
            return {};
        std::string text = target.substr(position + name.size() + 1);
        text = text.substr(0, text.find('&'));
        auto decoded = kj::decodeUriComponent(kj::arrayPtr(text.data(), text.size()));
        return { decoded.begin(), decoded.size() };
    }
    static uint64_t number(const std::string& text)
    {
        uint64_t n = 0;
        std::from_chars(text.data(), text.data() + text.size(), n);
        return n;
    }

    struct Copy {
        std::map<std::pair<std::string, std::string>, Row> rows;
        uint64_t version { 0 };
    };

    void answer(const Responder& responder, HttpResponse response) const
    {
        response.headers.push_back({ .name = "Store-Era", .value = std::to_string(m_era) });
        responder.answer(std::move(response));
    }

    void serve(const HttpRequest& request, const Responder& responder)
    {
        ++calls;
        if (isSilent)
            m_unanswered.push_back(responder);
        else if (status)
            answer(responder, { .status = status });
        else if (request.target.starts_with("/-/rows-get"))
            answerRows(request.target, responder);
        else if (request.target.starts_with("/-/rows-feed"))
            answerFeed(parameter(request.target, "table-name"), number(parameter(request.target, "after")), responder);
        else if (request.target.starts_with("/-/rows-tx"))
            transact(request.body, responder);
        else
            answer(responder, { .status = 404 });
    }

    void transact(const std::string& body, const Responder& responder)
    {
        auto json = JsonDocument::parse(body);
        for (auto& it : json->root().field("expect").items()) {
            auto row = m_rows.find({ it.field("table-name").text().value_or(""), it.field("key").text().value_or("") });
            if (it.field("schema-ver").whole() != (row == m_rows.end() ? 0 : row->second.version)) {
                answer(responder, { .status = 412 });
                return;
            }
        }
        for (auto& it : json->root().field("write").items()) {
            auto text = it.field("value").text().value_or("");
            auto value = kj::decodeBase64(kj::arrayPtr(text.data(), text.size()));
            write(it.field("table-name").text().value_or(""), it.field("key").text().value_or(""),
                std::string(reinterpret_cast<const char*>(value.begin()), value.size()));
        }
        answer(responder, { .status = 200, .body = R"({"schema-ver":)" + std::to_string(m_version) + "}" });
    }

    std::string encode(const std::string& table, const std::string& key, const Row& row) const
    {
        auto value
            = kj::encodeBase64(kj::arrayPtr(reinterpret_cast<const kj::byte*>(row.value.data()), row.value.size()));
        return R"({"table-name":)" + quote(table) + R"(,"part":"","key":)" + quote(key) + R"(,"value":")"
            + std::string(value.begin(), value.size()) + R"(","schema-ver":)" + std::to_string(row.version)
            + (row.isRemoved ? R"(,"deleted":true})" : "}");
    }

    void answerPage(const std::string& rows, bool hasMore, const Responder& responder) const
    {
        answer(responder,
            { .status = 200,
                .body = R"({"rows":[)" + rows + R"(],"has-more":)" + (hasMore ? "true" : "false") + R"(,"schema-ver":)"
                    + std::to_string(m_version) + R"(,"now-s":1.5})" });
    }

    void answerRows(const std::string& target, const Responder& responder) const
    {
        std::string table = parameter(target, "table-name");
        std::string end = parameter(target, "&target");
        std::string rows;
        size_t count = 0;
        auto it = m_rows.lower_bound({ table, parameter(target, "start-key") });
        for (; it != m_rows.end() && it->first.first == table; ++it) {
            if (it->second.isRemoved)
                continue;
            if ((!end.empty() && it->first.second >= end) || ++count > page)
                break;
            rows += (rows.empty() ? "" : ",") + encode(table, it->first.second, it->second);
        }
        answerPage(rows, count > page, responder);
    }

    void answerFeed(const std::string& table, uint64_t after, const Responder& responder)
    {
        if (after < m_forgottenUpTo || after > m_version) {
            answer(responder, { .status = 410 });
            return;
        }
        std::map<uint64_t, std::string> changes;
        for (auto& [name, row] : m_rows) {
            if (name.first == table && row.version > after)
                changes[row.version] = encode(table, name.second, row);
        }
        if (changes.empty()) {
            m_followers.push_back({ .table = table, .after = after, .responder = responder });
            return;
        }
        std::string rows;
        for (auto& [version, text] : changes)
            rows += (rows.empty() ? "" : ",") + text;
        answerPage(rows, false, responder);
    }

    std::map<std::pair<std::string, std::string>, Row> m_rows;
    std::vector<Follower> m_followers;
    std::vector<Responder> m_unanswered;
    uint64_t m_version { 0 };
    uint64_t m_era { 1 };
    Copy m_copy;
    uint64_t m_forgottenUpTo { 0 };
    HttpServer m_server;
    Endpoint m_endpoint;
};

} // namespace Berylport::Wire
