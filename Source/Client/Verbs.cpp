#include "Client/Verbs.h"

#include "Client/DaemonClient.h"
#include "Client/Tables.h"
#include "Client/TemplateFile.h"
#include "Common/Hashing.h"
#include "Common/JsonFields.h"
#include "Fleet/FleetCodec.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <thread>

namespace Client {

namespace {

    using Common::json;

    constexpr Common::millis changeTimeout { 10'000 };
    constexpr Common::millis changePollInterval { 200 };
    /// Added to the deadline of a request, so that the daemon answers before the call times out.
    constexpr Common::millis answerMargin { 2000 };

    struct verb {
        /// Words of the verb, such as "key" and "grant".
        std::vector<std::string> words;
        /// Placeholders of its arguments in the usage text.
        std::vector<std::string> arguments;
        const char* help;
        std::function<exit_code(const client_options&, const std::vector<std::string>&)> run;
    };

    exit_code failedCall(const daemon_client& client)
    {
        const bool unsent = client.lastReason() == call_failure::NotReached;
        std::cerr << (unsent ? "loftctl: the daemon can't be reached\n" : "loftctl: the daemon didn't answer\n");
        return unsent ? exit_code::NotReached : exit_code::Unknown;
    }

    void print(const client_options& options, const std::string& body)
    {
        std::cout << (options.asJson ? body + '\n' : toTable(body));
    }

    std::string stateOf(const call_answer& answer)
    {
        const auto body = Common::parseJson(answer.body);
        return body && body->is_object() ? body->value("state", std::string()) : std::string();
    }

    exit_code exitCodeOfChange(const std::string& state)
    {
        if (state == "accepted")
            return exit_code::Ok;
        if (state == "pending")
            return exit_code::Pending;
        return state == "unknown" ? exit_code::Unknown : exit_code::Rejected;
    }

    exit_code waitForChange(const client_options& options, daemon_client& client, const std::string& id, call_answer answer)
    {
        const auto deadline = Common::boot_clock::now() + options.wait;
        const auto isUnfinished = [](const std::string& state) { return state == "pending" || state == "unknown"; };
        while (isUnfinished(stateOf(answer)) && Common::boot_clock::now() < deadline) {
            std::this_thread::sleep_for(changePollInterval);
            if (const auto next = client.get("/v1/changes/" + id))
                answer = *next;
        }
        print(options, answer.body);
        return exitCodeOfChange(stateOf(answer));
    }

    exit_code change(const client_options& options, const char* kind, const json& body)
    {
        if (options.why.empty()) {
            std::cerr << "loftctl: a change needs --why\n";
            return exit_code::Usage;
        }
        const std::string id = options.id.empty() ? Common::randomId() : options.id;
        const json message { { "verb", kind }, { "id", id }, { "why", options.why }, { "body", body } };
        daemon_client client(options.operators, options.key);
        const auto answer = client.post("/v1/changes", message.dump(), changeTimeout);
        if (!answer) {
            const exit_code code = failedCall(client);
            std::cerr << "loftctl: repeat with --id=" << id << "; the change is applied at most once\n";
            return code;
        }
        return waitForChange(options, client, id, *answer);
    }

    exit_code show(const client_options& options, const std::string& path)
    {
        daemon_client client(options.operators, options.key);
        const auto answer = client.get(path);
        if (!answer)
            return failedCall(client);
        print(options, answer->body);
        return answer->status == 200 ? exit_code::Ok : exit_code::Rejected;
    }

    std::optional<Fleet::publish_template> readTemplate(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream content;
        content << file.rdbuf();
        if (!file) {
            std::cerr << "loftctl: can't read " << path << '\n';
            return std::nullopt;
        }
        std::vector<template_fault> faults;
        auto parsed = parseTemplate(content.str(), faults);
        for (const template_fault& fault : faults)
            std::cerr << path << ':' << fault.line << ": " << toText(fault.kind) << ' ' << fault.key << '\n';
        return parsed;
    }

    exit_code publish(const client_options& options, const std::vector<std::string>& arguments)
    {
        const auto parsed = readTemplate(arguments[0]);
        if (!parsed)
            return exit_code::Usage;
        const auto fields = Common::parseJson(Fleet::encodeFields(parsed->fields)).value_or(json::object());
        return change(options, "template",
            { { "account", parsed->account.value }, { "expected", parsed->expected.value }, { "fields", fields } });
    }

    exit_code check(const client_options&, const std::vector<std::string>& arguments)
    {
        if (!readTemplate(arguments[0]))
            return exit_code::Usage;
        std::cout << "the template is valid\n";
        return exit_code::Ok;
    }

    exit_code diff(const client_options& options, const std::vector<std::string>& arguments)
    {
        const auto parsed = readTemplate(arguments[0]);
        if (!parsed)
            return exit_code::Usage;
        daemon_client client(options.operators, options.key);
        const auto answer = client.get("/v1/state/templates");
        if (!answer)
            return failedCall(client);
        const auto accounts = Common::parseJson(answer->body).value_or(json::array());
        const auto fields = Common::parseJson(Fleet::encodeFields(parsed->fields)).value_or(json::object());
        json published = json::object();
        for (const json& account : accounts) {
            if (account.value("account", "") == parsed->account.value)
                published = account;
        }
        for (const char* role : { "productManager", "operationsLead" }) {
            const json difference = json::diff(published.value(role, json::object()), fields);
            std::cout << "against " << role << ": " << difference.dump() << '\n';
        }
        return exit_code::Ok;
    }

    exit_code place(const client_options& options, const std::vector<std::string>& arguments)
    {
        return change(options, "place",
            { { "instance", arguments[0] }, { "pool", arguments[1] }, { "dataCentre", arguments[2] },
                { "rack", arguments[3] } });
    }

    exit_code defineQueue(const client_options& options, const std::vector<std::string>& arguments)
    {
        return change(options, "queue",
            { { "queue", arguments[0] }, { "pool", arguments[1] }, { "open", options.open },
                { "openLimit", options.openLimit } });
    }

    exit_code exitCodeOfOutcome(const call_answer& answer)
    {
        const auto body = Common::parseJson(answer.body);
        if (!body || !body->is_object())
            return exit_code::Unknown;
        const auto outcome = body->value("outcome", std::string());
        if (outcome == "not_run")
            return exit_code::NotRun;
        return outcome == "unknown" ? exit_code::Unknown : exit_code::Ok;
    }

    json referenceOf(const client_options& options, const std::vector<std::string>& arguments)
    {
        json reference { { "queue", arguments[0] }, { "id", arguments[1] } };
        if (!options.team.empty())
            reference["team"] = options.team;
        if (!options.key.empty())
            reference["key"] = options.key;
        return reference;
    }

    exit_code postRequest(const client_options& options, const char* path, const json& body, Common::millis timeout)
    {
        daemon_client client(options.callers, {});
        const auto answer = client.post(path, body.dump(), timeout);
        if (!answer)
            return failedCall(client);
        print(options, answer->body);
        return exitCodeOfOutcome(*answer);
    }

    exit_code submit(const client_options& options, const std::vector<std::string>& arguments)
    {
        json body = referenceOf(options, arguments);
        body["deadlineMs"] = options.deadlineMillis;
        body["payload"] = options.payload;
        body["idempotent"] = options.idempotent;
        body["queued"] = options.queued;
        return postRequest(options, "/v1/requests", body, Common::millis(options.deadlineMillis) + answerMargin);
    }

    verb zoneVerb(const char* kind, const char* direction, bool out, const char* help)
    {
        return { .words = { kind, direction },
            .arguments = { "NAME" },
            .help = help,
            .run = [kind, out](const client_options& options, const std::vector<std::string>& arguments) {
                return change(options, kind, { { "name", arguments[0] }, { "out", out } });
            } };
    }

    verb showVerb(const char* what, const char* help)
    {
        return { .words = { "show", what },
            .arguments = {},
            .help = help,
            .run = [what](const client_options& options, const std::vector<std::string>&) {
                return show(options, std::string("/v1/state/") + what);
            } };
    }

    verb instanceVerb(const char* action, const char* help)
    {
        return { .words = { "instance", action },
            .arguments = { "INSTANCE" },
            .help = help,
            .run = [action](const client_options& options, const std::vector<std::string>& arguments) {
                return change(options, action, { { "instance", arguments[0] } });
            } };
    }

    std::vector<verb> keyVerbs()
    {
        return {
            { { "key", "new" }, {}, "prints a fresh key and its digest; the key is shown only here",
                [](const client_options&, const std::vector<std::string>&) {
                    const std::string key = Common::randomId() + Common::randomId();
                    std::cout << "key   " << key << "\nhash  " << Common::hashKey(key).value << '\n';
                    return exit_code::Ok;
                } },
            { { "key", "hash" }, { "KEY" }, "prints the digest under which a key is kept",
                [](const client_options&, const std::vector<std::string>& arguments) {
                    std::cout << Common::hashKey(arguments[0]).value << '\n';
                    return exit_code::Ok;
                } },
            { { "key", "grant" }, { "HASH", "TEAM" }, "lets a team show the key with this digest",
                [](const client_options& options, const std::vector<std::string>& arguments) {
                    return change(options, "grant-key", { { "hash", arguments[0] }, { "team", arguments[1] } });
                } },
            { { "key", "withdraw" }, { "HASH" }, "makes a key worthless everywhere",
                [](const client_options& options, const std::vector<std::string>& arguments) {
                    return change(options, "withdraw-key", { { "hash", arguments[0] } });
                } },
        };
    }

    std::vector<verb> templateVerbs()
    {
        return {
            { { "template", "check" }, { "FILE" }, "checks a template file and reports every fault", check },
            { { "template", "diff" }, { "FILE" }, "compares a template file with what stands", diff },
            { { "template", "publish" }, { "FILE" }, "publishes or revises an account template", publish },
            { { "queue", "define" }, { "QUEUE", "POOL" }, "sets up a queue (--open, --open_limit)", defineQueue },
            { { "change" }, { "ID" }, "shows what became of a change",
                [](const client_options& options, const std::vector<std::string>& arguments) {
                    daemon_client client(options.operators, options.key);
                    const auto answer = client.get("/v1/changes/" + arguments[0]);
                    return answer ? waitForChange(options, client, arguments[0], *answer) : failedCall(client);
                } },
            { { "metrics" }, {}, "shows the figures of one daemon",
                [](const client_options& options, const std::vector<std::string>&) {
                    return show(options, "/v1/metrics");
                } },
            { { "burn" }, {}, "shows how fast each team uses up its error budget at one daemon",
                [](const client_options& options, const std::vector<std::string>&) { return show(options, "/v1/burn"); } },
        };
    }

    std::vector<verb> instanceVerbs()
    {
        return {
            { { "instance", "place" }, { "INSTANCE", "POOL", "DATA_CENTRE", "RACK" }, "puts a new instance into a pool",
                place },
            { { "instance", "move" }, { "INSTANCE", "POOL" }, "moves an instance to another pool",
                [](const client_options& options, const std::vector<std::string>& arguments) {
                    return change(options, "move", { { "instance", arguments[0] }, { "pool", arguments[1] } });
                } },
            instanceVerb("drain", "takes an instance into maintenance if every budget holds"),
            instanceVerb("return", "brings an instance back from maintenance"),
            zoneVerb("instance", "out", true, "takes an instance out of service at once"),
            zoneVerb("instance", "in", false, "brings an instance back"),
            zoneVerb("data-centre", "out", true, "takes a data centre out of service at once"),
            zoneVerb("data-centre", "in", false, "brings a data centre back"),
            zoneVerb("rack", "out", true, "takes a rack out of service at once"),
            zoneVerb("rack", "in", false, "brings a rack back"),
        };
    }

    std::vector<verb> callerVerbs()
    {
        return {
            { { "submit" }, { "QUEUE", "REQUEST_ID" }, "sends a request as a caller (--payload, --deadline_ms)", submit },
            { { "find" }, { "QUEUE", "REQUEST_ID" }, "asks what became of a request",
                [](const client_options& options, const std::vector<std::string>& arguments) {
                    return postRequest(options, "/v1/requests/find", referenceOf(options, arguments), changeTimeout);
                } },
            { { "cancel" }, { "QUEUE", "REQUEST_ID" }, "cancels a request that hasn't started",
                [](const client_options& options, const std::vector<std::string>& arguments) {
                    return postRequest(options, "/v1/requests/cancel", referenceOf(options, arguments), changeTimeout);
                } },
        };
    }

    std::vector<verb> showVerbs()
    {
        return { showVerb("teams", "terms of each team, and what it runs at this daemon"),
            showVerb("pools", "instances of each pool, and which daemon holds it"),
            showVerb("instances", "pool, failure domain and state of each instance"),
            showVerb("queues", "queues and the work that waits in them"),
            showVerb("members", "entry instances"), showVerb("shards", "who holds what"),
            showVerb("keys", "digests of keys and their teams"), showVerb("templates", "account templates by role"),
            showVerb("history", "who changed what, and why") };
    }

    const std::vector<verb>& allVerbs()
    {
        static const std::vector<verb> verbs = [] {
            std::vector<verb> all;
            for (auto& group : { templateVerbs(), keyVerbs(), instanceVerbs(), showVerbs(), callerVerbs() })
                all.insert(all.end(), group.begin(), group.end());
            return all;
        }();
        return verbs;
    }

    std::string joined(const std::vector<std::string>& words)
    {
        std::string text;
        for (const auto& word : words)
            text += (text.empty() ? "" : " ") + word;
        return text;
    }

    bool matches(const verb& candidate, const std::vector<std::string>& words)
    {
        return words.size() >= candidate.words.size()
            && std::equal(candidate.words.begin(), candidate.words.end(), words.begin());
    }

}

std::string usageText()
{
    std::string text = "loftctl VERB ARGUMENTS [--operators=IP:PORT] [--callers=IP:PORT] [--key_file=FILE] [--json]\n\n";
    constexpr std::size_t helpColumn = 58;
    for (const verb& entry : allVerbs()) {
        std::string line = "  " + joined(entry.words) + " " + joined(entry.arguments);
        line.resize(std::max(line.size() + 1, helpColumn), ' ');
        text += line + entry.help + '\n';
    }
    text += "\nA change needs --why, and takes --id to repeat it after a lost answer without doing it twice.\n"
            "Exit codes: 0 done or in force everywhere, 1 rejected, 2 usage, 3 daemon not reached,\n"
            "4 not confirmed by everyone yet, 5 outcome unknown, 6 certainly not run.";
    return text;
}

exit_code runVerb(const client_options& options, const std::vector<std::string>& words)
{
    const auto& verbs = allVerbs();
    const auto found = std::ranges::find_if(verbs, [&words](const verb& entry) { return matches(entry, words); });
    if (found == verbs.end()) {
        std::cerr << usageText() << '\n';
        return exit_code::Usage;
    }
    const std::vector<std::string> arguments(
        words.begin() + static_cast<std::ptrdiff_t>(found->words.size()), words.end());
    if (arguments.size() != found->arguments.size()) {
        std::cerr << "usage: loftctl " << joined(found->words) << ' ' << joined(found->arguments) << '\n';
        return exit_code::Usage;
    }
    return found->run(options, arguments);
}

}
