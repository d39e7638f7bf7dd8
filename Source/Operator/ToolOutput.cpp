// Formatting of rows.
#include "Operator/ToolOutput.h"

#include "Base/Overloaded.h"

#include <algorithm>
#include <capnp/compat/json.h>
#include <capnp/message.h>
#include <cctype>
#include <cmath>
#include <cstdio>

namespace Berylport::Tool {

namespace {

using JsonValue = capnp::json::Value;

// Larger whole numbers are not exact in a JSON reader that uses doubles.
constexpr uint64_t maximumExactInteger = uint64_t(1) << 53;
constexpr size_t columnGap = 2;

std::string titleOf(const std::string& key)
{
    std::string title;
    for (char c : key) {
        bool isUpper = std::isupper(static_cast<unsigned char>(c));
        if (isUpper)
            title += ' ';
        title += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return title;
}

std::string join(const std::vector<std::string>& texts)
{
    std::string joined;
    for (const auto& it : texts)
        joined += (joined.empty() ? "" : ", ") + it;
    return joined;
}

std::string numberText(double value)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.6g", value);
    return buf;
}

std::string cellText(const Cell& cell)
{
    std::string text = std::visit(Overloaded {
                                      [](const std::string& it) { return it; },
                                      [](uint64_t it) { return std::to_string(it); },
                                      [](double it) { return numberText(it); },
                                      [](bool it) { return std::string(it ? "yes" : "no"); },
                                      [](const std::vector<std::string>& it) { return join(it); },
                                  },
        cell);
    return text.empty() ? "-" : text;
}

void setText(JsonValue::Builder builder, const std::string& text) { builder.setString(text.c_str()); }

void setCell(JsonValue::Builder builder, const Cell& cell)
{
    std::visit(Overloaded {
                   [&](const std::string& it) { setText(builder, it); },
                   [&](uint64_t it) {
                       if (it <= maximumExactInteger)
                           builder.setNumber(static_cast<double>(it));
                       else
                           setText(builder, std::to_string(it));
                   },
                   [&](double it) {
                       // JSON has no infinity and no NaN.
                       if (std::isfinite(it))
                           builder.setNumber(it);
                       else
                           builder.setNull();
                   },
                   [&](bool it) { builder.setBoolean(it); },
                   [&](const std::vector<std::string>& it) {
                       auto array = builder.initArray(static_cast<unsigned>(it.size()));
                       for (unsigned i = 0; i < it.size(); ++i)
                           setText(array[i], it[i]);
                   },
               },
        cell);
}

void setRow(JsonValue::Builder builder, const Table& table, const std::vector<Cell>& row)
{
    auto fields = builder.initObject(static_cast<unsigned>(row.size()));
    for (unsigned i = 0; i < row.size(); ++i) {
        fields[i].setName(table.columns[i].c_str());
        setCell(fields[i].initValue(), row[i]);
    }
}

std::string encode(JsonValue::Reader value)
{
    capnp::JsonCodec codec;
    auto text = codec.encodeRaw(value);
    return std::string(text.begin(), text.size()) + "\n";
}

void appendLine(std::string& text, const std::vector<std::string>& cells, const std::vector<size_t>& widths)
{
    for (size_t i = 0; i + 1 < cells.size(); ++i)
        text += cells[i] + std::string(widths[i] + columnGap - cells[i].size(), ' ');
    text += cells.back() + "\n";
}

} // namespace

std::string formatTable(const Table& table)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const auto& it : table.columns)
        lines.front().push_back(titleOf(it));
    for (const auto& row : table.rows) {
        auto& line = lines.emplace_back();
        for (const auto& it : row)
            line.push_back(cellText(it));
    }
    std::vector<size_t> widths(table.columns.size());
    for (const auto& line : lines) {
        for (size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    std::string text;
    for (const auto& it : lines)
        appendLine(text, it, widths);
    return text;
}

std::string formatRecord(const Table& table)
{
    size_t width = 0;
    for (const auto& it : table.columns)
        width = std::max(width, titleOf(it).size());
    std::string text;
    for (size_t i = 0; i < table.columns.size(); ++i)
        appendLine(text, { titleOf(table.columns[i]), cellText(table.rows.front()[i]) }, { width, 0 });
    return text;
}

std::string toJsonArray(const Table& table)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<JsonValue>();
    auto array = root.initArray(static_cast<unsigned>(table.rows.size()));
    unsigned i = 0;
    for (const auto& it : table.rows)
        setRow(array[i++], table, it);
    return encode(root.asReader());
}

std::string toJsonObject(const Table& table)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<JsonValue>();
    setRow(root, table, table.rows.front());
    return encode(root.asReader());
}

} // namespace Berylport::Tool
