#include "Client/Tables.h"

#include "Common/JsonFields.h"

#include <algorithm>
#include <vector>

namespace Client {

namespace {

    using Common::json;

    constexpr std::size_t columnGap = 2;

    struct column {
        std::string name;
        std::size_t width { 0 };
    };

    std::string cellText(const json& value)
    {
        if (value.is_string())
            return value.get<std::string>();
        if (value.is_null())
            return "-";
        return value.dump();
    }

    std::vector<column> columnsOf(const json& rows)
    {
        std::vector<column> columns;
        for (const auto& item : rows.front().items())
            columns.push_back({ .name = item.key(), .width = item.key().size() });
        for (const json& row : rows) {
            for (column& entry : columns)
                entry.width = std::max(entry.width, cellText(row.value(entry.name, json())).size());
        }
        return columns;
    }

    void addCell(std::string& line, const std::string& text, std::size_t width)
    {
        line += text;
        line.append(width - text.size() + columnGap, ' ');
    }

    void endLine(std::string& out, std::string line)
    {
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + '\n';
    }

    bool isTable(const json& value)
    {
        return value.is_array() && !value.empty()
            && std::ranges::all_of(value, [](const json& row) { return row.is_object(); });
    }

}

std::string toTable(const std::string& text)
{
    const auto value = Common::parseJson(text);
    if (!value)
        return text + '\n';
    if (!isTable(*value))
        return value->empty() && value->is_array() ? "(none)\n" : value->dump(2) + '\n';
    const auto columns = columnsOf(*value);
    std::string out;
    std::string header;
    for (const column& entry : columns)
        addCell(header, entry.name, entry.width);
    endLine(out, header);
    for (const json& row : *value) {
        std::string line;
        for (const column& entry : columns)
            addCell(line, cellText(row.value(entry.name, json())), entry.width);
        endLine(out, line);
    }
    return out;
}

}
