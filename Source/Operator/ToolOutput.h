// Output of berylportctl: the same rows as aligned text or as JSON.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Berylport::Tool {

using Cell = std::variant<std::string, uint64_t, double, bool, std::vector<std::string>>;

struct Table {
    // Keys of the JSON objects, in camelCase; the text form shows their words.
    std::vector<std::string> columns;
    // Each has one cell for each column.
    std::vector<std::vector<Cell>> rows;
};

// A heading and one line for each row.
std::string formatTable(const Table&);
// One line for each column of the only row.
std::string formatRecord(const Table&);
std::string toJsonArray(const Table&);
std::string toJsonObject(const Table&);

} // namespace Berylport::Tool
