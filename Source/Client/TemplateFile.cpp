#include "Client/TemplateFile.h"

#include "Common/TomlCheck.h"

#include <algorithm>
#include <array>
#include <span>
#include <toml++/toml.h>

namespace Client {

namespace {

    constexpr std::array<std::string_view, 5> rootKeys {
        "account", "expected", "min_available", "max_in_maintenance", "team"
    };
    constexpr std::array<std::string_view, 3> teamKeys { "name", "share", "upper_limit" };

    int lineOf(const toml::node& node)
    {
        return static_cast<int>(node.source().begin.line);
    }

    void reportUnknownKeys(
        const toml::table& table, std::span<const std::string_view> known, std::vector<template_fault>& faults)
    {
        for (const auto& [key, node] : table) {
            if (std::ranges::find(known, key.str()) != known.end())
                continue;
            faults.push_back(
                { .kind = template_fault_kind::UnknownKey, .key = std::string(key.str()), .line = lineOf(node) });
        }
    }

    std::optional<std::int64_t> optionalNumber(const toml::table& table, const char* key, std::vector<template_fault>& faults)
    {
        const toml::node* const node = table.get(key);
        if (!node)
            return std::nullopt;
        const auto value = node->value_exact<std::int64_t>();
        if (!value)
            faults.push_back({ .kind = template_fault_kind::WrongType, .key = key, .line = lineOf(*node) });
        return value;
    }

    std::string requiredText(const toml::table& table, const char* key, std::vector<template_fault>& faults)
    {
        const toml::node* const node = table.get(key);
        if (!node) {
            faults.push_back(
                { .kind = template_fault_kind::Missing, .key = key, .line = static_cast<int>(table.source().begin.line) });
            return {};
        }
        const auto value = node->value_exact<std::string>();
        if (!value)
            faults.push_back({ .kind = template_fault_kind::WrongType, .key = key, .line = lineOf(*node) });
        return value.value_or("");
    }

    Fleet::team_fields readTeam(const toml::table& table, std::vector<template_fault>& faults)
    {
        reportUnknownKeys(table, teamKeys, faults);
        Fleet::team_fields team { .team = { requiredText(table, "name", faults) } };
        if (const auto share = optionalNumber(table, "share", faults))
            team.share = Common::share_weight { *share };
        if (const auto limit = optionalNumber(table, "upper_limit", faults))
            team.upperLimit = Common::slot_count { *limit };
        return team;
    }

    Fleet::publish_template readRoot(const toml::table& root, std::vector<template_fault>& faults)
    {
        reportUnknownKeys(root, rootKeys, faults);
        Fleet::publish_template result { .account = { requiredText(root, "account", faults) } };
        if (!root.get("expected"))
            faults.push_back({ .kind = template_fault_kind::Missing, .key = "expected", .line = 1 });
        result.expected = { optionalNumber(root, "expected", faults).value_or(0) };
        if (const auto minAvailable = optionalNumber(root, "min_available", faults))
            result.fields.minAvailable = Common::percent { *minAvailable };
        if (const auto maxInMaintenance = optionalNumber(root, "max_in_maintenance", faults))
            result.fields.maxInMaintenance = Common::slot_count { *maxInMaintenance };
        const toml::node* const teams = root.get("team");
        if (!teams)
            return result;
        if (!teams->is_array_of_tables()) {
            faults.push_back({ .kind = template_fault_kind::WrongType, .key = "team", .line = lineOf(*teams) });
            return result;
        }
        for (const toml::node& entry : *teams->as_array())
            result.fields.teams.push_back(readTeam(*entry.as_table(), faults));
        return result;
    }

}

std::string_view toText(template_fault_kind kind)
{
    switch (kind) {
    case template_fault_kind::Syntax:
        return "syntax";
    case template_fault_kind::UnknownKey:
        return "unknown_key";
    case template_fault_kind::Missing:
        return "missing";
    case template_fault_kind::WrongType:
        break;
    }
    return "wrong_type";
}

std::optional<Fleet::publish_template> parseTemplate(
    std::string_view text, std::vector<template_fault>& lastReasons)
{
    lastReasons.clear();
    if (const auto line = Common::firstUnsafeTomlLine(text)) {
        lastReasons.push_back({ .kind = template_fault_kind::Syntax,
            .key = "control character, non-ASCII character outside of a comment, or table header without a key",
            .line = *line });
        return std::nullopt;
    }
    std::optional<Fleet::publish_template> result;
    try {
        result = readRoot(toml::parse(text), lastReasons);
    } catch (const toml::parse_error& error) {
        lastReasons.push_back({ .kind = template_fault_kind::Syntax,
            .key = std::string(error.description()),
            .line = static_cast<int>(error.source().begin.line) });
    }
    if (!lastReasons.empty())
        return std::nullopt;
    return result;
}

}
