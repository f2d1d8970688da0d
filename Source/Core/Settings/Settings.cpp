#include "Settings/Settings.h"

#include "Common/TomlCheck.h"

#include <algorithm>
#include <array>
#include <set>
#include <toml++/toml.h>

namespace Settings {

namespace {

    struct duration_key {
        const char* name;
        Common::millis* target;
        std::int64_t minimum;
        std::int64_t maximum;
    };

    /// Reads the known keys of a table; the destructor reports the others as unknown.
    class table_reader {
    public:
        table_reader(const toml::table* table, std::string prefix, std::vector<settings_fault>& faults)
            : m_table(table)
            , m_prefix(std::move(prefix))
            , m_faults(faults)
        {
        }
        ~table_reader() { reportUnknown(); }
        table_reader(const table_reader&) = delete;
        table_reader& operator=(const table_reader&) = delete;

        const toml::node* find(const char* name)
        {
            m_known.insert(name);
            return m_table ? m_table->get(name) : nullptr;
        }

        void fail(fault_kind kind, const char* name, std::string expected)
        {
            const toml::node* const node = m_table ? m_table->get(name) : nullptr;
            const int line = node ? static_cast<int>(node->source().begin.line) : 0;
            m_faults.push_back({ .kind = kind, .key = m_prefix + name, .line = line, .expected = std::move(expected) });
        }

        std::string text(const char* name)
        {
            const toml::node* const node = find(name);
            if (!node) {
                fail(fault_kind::Missing, name, "a string");
                return {};
            }
            const auto value = node->value_exact<std::string>();
            if (!value)
                fail(fault_kind::WrongType, name, "a string");
            else if (value->empty())
                fail(fault_kind::OutOfRange, name, "a string that isn't empty");
            return value.value_or("");
        }

        Common::endpoint address(const char* name)
        {
            if (!find(name)) {
                fail(fault_kind::Missing, name, "\"IP:PORT\"");
                return {};
            }
            const auto value = m_table->get(name)->value_exact<std::string>();
            const auto parsed = value ? Common::parseEndpoint(*value) : std::nullopt;
            if (!parsed)
                fail(fault_kind::Malformed, name, "\"IP:PORT\" with a numeric IPv4 address");
            return parsed.value_or(Common::endpoint {});
        }

        std::int64_t number(const char* name, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum)
        {
            const toml::node* const node = find(name);
            if (!node)
                return defaultValue;
            const auto value = node->value_exact<std::int64_t>();
            const std::string range = "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
            if (!value)
                fail(fault_kind::WrongType, name, range);
            else if (*value < minimum || *value > maximum)
                fail(fault_kind::OutOfRange, name, range);
            return value.value_or(defaultValue);
        }

        const toml::table* table(const char* name)
        {
            const toml::node* const node = find(name);
            if (!node)
                return nullptr;
            if (!node->is_table())
                fail(fault_kind::WrongType, name, "a table");
            return node->as_table();
        }

    private:
        void reportUnknown()
        {
            if (!m_table)
                return;
            for (const auto& [key, node] : *m_table) {
                if (m_known.contains(std::string(key.str())))
                    continue;
                m_faults.push_back({ .kind = fault_kind::UnknownKey,
                    .key = m_prefix + std::string(key.str()),
                    .line = static_cast<int>(node.source().begin.line),
                    .expected = "a known key" });
            }
        }

        const toml::table* m_table;
        std::string m_prefix;
        std::vector<settings_fault>& m_faults;
        std::set<std::string> m_known;
    };

    constexpr std::size_t keyHashLength = 64;
    constexpr std::int64_t minMillis = 10;
    constexpr std::int64_t maxMillis = 600'000;

    void readTiming(table_reader& reader, daemon_settings& result)
    {
        Membership::timing& timing = result.timing;
        const std::array keys {
            duration_key { "lease_ms", &timing.lease, minMillis, maxMillis },
            duration_key { "renew_every_ms", &timing.renewEvery, minMillis, maxMillis },
            duration_key { "margin_ms", &timing.margin, minMillis, maxMillis },
            duration_key { "freshness_ms", &timing.freshness, minMillis, maxMillis },
            duration_key { "promise_ms", &timing.promise, minMillis, maxMillis },
            duration_key { "lack_log_after_ms", &timing.logUnavailableAfter, minMillis, maxMillis },
            duration_key { "task_lease_ms", &timing.taskLease, minMillis, maxMillis },
            duration_key { "settle_ms", &timing.settle, minMillis, maxMillis },
            duration_key { "call_timeout_ms", &result.callTimeout, minMillis, maxMillis },
            duration_key { "balancer_grace_ms", &result.balancerGrace, 0, maxMillis },
            duration_key { "stop_timeout_ms", &result.stopTimeout, minMillis, maxMillis },
        };
        for (const duration_key& key : keys)
            *key.target = Common::millis(reader.number(key.name, key.target->count(), key.minimum, key.maximum));
        if (timing.renewEvery * 2 > timing.lease)
            reader.fail(fault_kind::Contradiction, "renew_every_ms", "at most half of lease_ms");
        if (timing.margin * 2 > timing.promise)
            reader.fail(fault_kind::Contradiction, "margin_ms", "at most half of promise_ms");
        if (timing.logUnavailableAfter >= timing.lease || timing.logUnavailableAfter >= timing.freshness)
            reader.fail(fault_kind::Contradiction, "lack_log_after_ms", "less than lease_ms and freshness_ms");
    }

    void readListen(table_reader& reader, daemon_settings& result)
    {
        result.callers = reader.address("callers");
        result.peers = reader.address("peers");
        result.operators = reader.address("operators");
        const std::set<Common::endpoint> different { result.callers, result.peers, result.operators };
        if (different.size() != 3 && result.callers.port != 0)
            reader.fail(fault_kind::Contradiction, "callers", "three different addresses");
    }

    void readLimits(table_reader& reader, daemon_settings& result)
    {
        constexpr std::int64_t maxThreads = 4096;
        constexpr std::int64_t maxEntries = 1'000'000;
        const auto threads = [&reader](const char* name, std::size_t defaultValue) {
            return static_cast<std::size_t>(reader.number(name, static_cast<std::int64_t>(defaultValue), 1, maxThreads));
        };
        result.callerThreads = threads("caller_threads", result.callerThreads);
        result.peerThreads = threads("peer_threads", result.peerThreads);
        result.maxWaitingPerTeam = static_cast<std::size_t>(
            reader.number("max_waiting_per_team", static_cast<std::int64_t>(result.maxWaitingPerTeam), 1, maxEntries));
        result.snapshotEvery = reader.number("snapshot_every_records", result.snapshotEvery, 10, maxEntries);
    }

    void readLogLevel(table_reader& reader, daemon_settings& result)
    {
        if (!reader.find("level"))
            return;
        struct level_name {
            std::string_view name;
            Common::log_level level;
        };
        constexpr std::array names { level_name { "debug", Common::log_level::Debug },
            level_name { "info", Common::log_level::Info }, level_name { "warning", Common::log_level::Warning },
            level_name { "error", Common::log_level::Error } };
        const std::string value = reader.text("level");
        const auto* const found = std::ranges::find(names, value, &level_name::name);
        if (found == names.end())
            reader.fail(fault_kind::OutOfRange, "level", "debug, info, warning or error");
        else
            result.logLevel = found->level;
    }

    operator_account readOperator(const toml::table& table, std::vector<settings_fault>& faults)
    {
        table_reader reader(&table, "operator.", faults);
        operator_account account { .name = reader.text("name"), .key = { reader.text("key_hash") } };
        const std::string role = reader.text("role");
        if (role == "product_manager")
            account.role = Fleet::operator_role::ProductManager;
        else if (role != "operations_lead")
            reader.fail(fault_kind::OutOfRange, "role", "product_manager or operations_lead");
        const auto isHex = [](char character) {
            return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
        };
        if (account.key.value.size() != keyHashLength || !std::ranges::all_of(account.key.value, isHex))
            reader.fail(fault_kind::Malformed, "key_hash", "64 hex digits, as loftctl key hash prints them");
        return account;
    }

    void readOperators(table_reader& root, daemon_settings& result, std::vector<settings_fault>& faults)
    {
        const toml::node* const node = root.find("operator");
        if (!node)
            return;
        const toml::array* const list = node->as_array();
        if (!list) {
            root.fail(fault_kind::WrongType, "operator", "an array of tables [[operator]]");
            return;
        }
        for (const toml::node& entry : *list) {
            if (const toml::table* const table = entry.as_table())
                result.operatorAccounts.push_back(readOperator(*table, faults));
            else
                root.fail(fault_kind::WrongType, "operator", "an array of tables [[operator]]");
        }
    }

    void readAll(const toml::table& table, daemon_settings& result, std::vector<settings_fault>& faults)
    {
        table_reader root(&table, "", faults);
        {
            table_reader reader(root.table("instance"), "instance.", faults);
            result.instance = reader.text("id");
            result.dataCentre = { reader.text("data_centre") };
        }
        {
            table_reader reader(root.table("listen"), "listen.", faults);
            readListen(reader, result);
        }
        {
            table_reader reader(root.table("platform"), "platform.", faults);
            result.platformLog = reader.address("log");
            result.instanceList = reader.address("instance_list");
        }
        {
            table_reader reader(root.table("timing"), "timing.", faults);
            readTiming(reader, result);
        }
        {
            table_reader reader(root.table("limits"), "limits.", faults);
            readLimits(reader, result);
        }
        {
            table_reader reader(root.table("logs"), "logs.", faults);
            readLogLevel(reader, result);
        }
        readOperators(root, result, faults);
    }

}

std::string_view toText(fault_kind kind)
{
    switch (kind) {
    case fault_kind::Syntax:
        return "syntax";
    case fault_kind::UnknownKey:
        return "unknown_key";
    case fault_kind::Missing:
        return "missing";
    case fault_kind::WrongType:
        return "wrong_type";
    case fault_kind::OutOfRange:
        return "out_of_range";
    case fault_kind::Malformed:
        return "malformed";
    case fault_kind::Contradiction:
        break;
    }
    return "contradiction";
}

std::optional<daemon_settings> parseSettings(std::string_view text, std::vector<settings_fault>& lastReasons)
{
    lastReasons.clear();
    if (const auto line = Common::firstUnsafeTomlLine(text)) {
        lastReasons.push_back(
            { .kind = fault_kind::Syntax, .key = {}, .line = *line, .expected = "plain ASCII outside of comment lines, and a key in each table header" });
        return std::nullopt;
    }
    daemon_settings result;
    try {
        const toml::table table = toml::parse(text);
        readAll(table, result, lastReasons);
    } catch (const toml::parse_error& error) {
        lastReasons.push_back({ .kind = fault_kind::Syntax,
            .line = static_cast<int>(error.source().begin.line),
            .expected = std::string(error.description()) });
    }
    if (!lastReasons.empty())
        return std::nullopt;
    return result;
}

}
