#include "Common/JsonFields.h"
#include "platform/Decode.h"
#include "platform/ReplyParser.h"

#include <catch2/catch.hpp>
#include <random>

using Common::json;
using Dispatch::order_outcome;

namespace {

/// Decoder that reads everything from a tree, as a reference.
namespace Reference {

    std::optional<std::int64_t> readInteger(const json& in, const char* name)
    {
        const auto found = in.find(name);
        if (found == in.end() || !found->is_number_integer())
            return std::nullopt;
        return found->get<std::int64_t>();
    }

    std::optional<Dispatch::listed_run> readRun(const json& row)
    {
        const auto task = Platform::decodeTaskName(row.at(0).get<std::string>());
        if (!task)
            return std::nullopt;
        Dispatch::listed_run run;
        run.task = *task;
        run.run.value = row.at(1).get<std::int64_t>();
        run.checkpoint = row.at(2).get<std::string>();
        run.percent.value = row.at(3).get<std::int64_t>();
        if (row.size() > 4 && row.at(4).is_number())
            run.load = row.at(4).get<std::int64_t>();
        return run;
    }

    std::optional<Dispatch::listed_end> readEnd(const json& row)
    {
        const auto task = Platform::decodeTaskName(row.at(1).get<std::string>());
        const auto kind = Platform::decodeEndKind(row.at(3).get<std::string>());
        if (!task || !kind)
            return std::nullopt;
        Dispatch::listed_end end;
        end.number.value = row.at(0).get<std::int64_t>();
        end.task = *task;
        end.run.value = row.at(2).get<std::int64_t>();
        end.kind = *kind;
        end.checkpoint = row.at(4).get<std::string>();
        return end;
    }

    Dispatch::poll_order_reply decodePollReply(std::string_view body)
    {
        Dispatch::poll_order_reply reply;
        reply.base.outcome = order_outcome::Invalid;
        const auto parsed = Common::parseJson(body);
        if (!parsed || !parsed->is_object())
            return reply;
        if (const auto clock = readInteger(*parsed, "clockMs"))
            reply.base.clock = Dispatch::worker_millis { *clock };
        if (const auto born = readInteger(*parsed, "born"))
            reply.base.incarnationStartedAt = Common::wall_millis { *born };
        try {
            Dispatch::poll_order_reply lists;
            for (const auto& row : parsed->at("running")) {
                if (const auto run = readRun(row))
                    lists.running.push_back(*run);
            }
            for (const auto& row : parsed->at("finished")) {
                if (const auto end = readEnd(row))
                    lists.ended.push_back(*end);
            }
            reply.running = lists.running;
            reply.ended = lists.ended;
            reply.mayHaveMoreEnds = parsed->at("finished").size() >= 500;
            reply.base.outcome = order_outcome::Done;
        } catch (const json::exception&) {
            return reply;
        }
        return reply;
    }

}

/// All of a reply as text, for comparisons.
std::string describe(const Dispatch::poll_order_reply& reply)
{
    json out;
    out["outcome"] = static_cast<int>(reply.base.outcome);
    out["clock"] = reply.base.clock ? json(reply.base.clock->value) : json();
    out["started"] = reply.base.incarnationStartedAt ? json(reply.base.incarnationStartedAt->value) : json();
    for (const auto& run : reply.running) {
        out["running"].push_back({ Platform::encodeTaskName(run.task), run.run.value, run.checkpoint, run.percent.value, run.load });
    }
    for (const auto& end : reply.ended) {
        out["ended"].push_back({ end.number.value, Platform::encodeTaskName(end.task), end.run.value,
            static_cast<int>(end.kind), end.checkpoint });
    }
    out["more"] = reply.mayHaveMoreEnds;
    return Common::writeJson(out);
}

class reply_generator {
public:
    int below(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(m_random); }

    template <typename Value>
    Value oneOf(const std::vector<Value>& values)
    {
        return values[static_cast<std::size_t>(below(static_cast<int>(values.size())))];
    }

    json validReply()
    {
        json reply { { "clockMs", below(1'000'000) }, { "born", 1'796'400'000'000 + below(1000) },
            { "running", json::array() }, { "finished", json::array() } };
        for (int count = below(5); count > 0; --count) {
            json row { taskName(), below(3000), checkpoint(), below(101) };
            if (below(4) != 0)
                row.push_back(below(1000));
            reply["running"].push_back(row);
        }
        for (int count = below(4); count > 0; --count) {
            reply["finished"].push_back({ below(100), taskName(), below(3000),
                oneOf<std::string>({ "done", "failed", "stopped", "lapsed", "broken", "alone", "else" }), checkpoint() });
        }
        return reply;
    }

    /// A value of any kind, mostly one that doesn't belong there.
    json anyValue()
    {
        return oneOf<json>({ nullptr, true, -3, 2.5, 18'446'744'073'709'551'615ULL, "", "j.0.1.2", "done", json::array(),
            json::object(), json::array({ 1, "j.0.1.2", 3, "done", "c" }), json::array({ "j.0.1.2", 1, "c", 4 }),
            json { { "clockMs", 4 } } });
    }

    /// Replaces, removes or adds values in the reply.
    void change(json& reply)
    {
        json* target = &reply;
        while (!target->empty() && target->is_structured() && below(3) != 0) {
            auto child = target->begin();
            std::advance(child, below(static_cast<int>(target->size())));
            target = &*child;
        }
        if (target->is_array() && below(2) == 0)
            target->push_back(anyValue());
        else if (target->is_object() && below(2) == 0)
            (*target)[oneOf<std::string>({ "running", "clockMs", "other" })] = anyValue();
        else
            *target = anyValue();
    }

    /// Damages the text: bytes are changed, removed or added, members are doubled, or its end is cut off.
    void damage(std::string& text)
    {
        static const std::string bytes = "{}[]\",:.-+e0159tfn\\u \x01\xff\xc3";
        const auto at = static_cast<std::size_t>(below(static_cast<int>(text.size()) + 1));
        const char byte = bytes[static_cast<std::size_t>(below(static_cast<int>(bytes.size())))];
        switch (below(5)) {
        case 0:
            text.resize(at);
            break;
        case 1:
            text.insert(at, 1, byte);
            break;
        case 2:
            text.erase(at, 1);
            break;
        case 3:
            text.insert(std::min<std::size_t>(1, text.size()),
                oneOf<std::string>({ R"("clockMs":5,)", R"("running":[],)", R"("running":[["j.0.1.2",1,"",2]],)", R"("other":[1],)",
                    R"("other":"x",)", R"("finished":{"a":[1,"j.0.1.2",3,"done",""]},)" }));
            break;
        default:
            if (at < text.size())
                text[at] = byte;
        }
    }

private:
    std::string taskName()
    {
        return below(10) == 0 ? "odd" : "5c0e7a21d94b36f8.0." + std::to_string(below(4)) + '.' + std::to_string(below(50));
    }

    std::string checkpoint() { return oneOf<std::string>({ "", "cp-17", "with \"quotes\" and \xc3\xa9", "tab\t" }); }

    std::mt19937 m_random { 20261204 };
};

void checkSame(const std::string& body)
{
    CAPTURE(body);
    REQUIRE(describe(Platform::decodePollReply(200, body)) == describe(Reference::decodePollReply(body)));
}

}

TEST_CASE("Poll replies are decoded as by a reference decoder", "[platform]")
{
    constexpr int rounds = 20'000;
    reply_generator generator;

    SECTION("valid replies, which are all read without a tree")
    {
        for (int round = 0; round < rounds; ++round) {
            const auto body = generator.validReply().dump();
            REQUIRE(Platform::parseWorkerReply(body));
            checkSame(body);
        }
    }

    SECTION("valid JSON in an unexpected form")
    {
        for (int round = 0; round < rounds; ++round) {
            auto reply = generator.validReply();
            for (int changes = 1 + generator.below(3); changes > 0; --changes)
                generator.change(reply);
            checkSame(reply.dump());
        }
    }

    SECTION("damaged text")
    {
        for (int round = 0; round < rounds; ++round) {
            auto body = generator.validReply().dump();
            for (int changes = 1 + generator.below(3); changes > 0; --changes)
                generator.damage(body);
            checkSame(body);
        }
    }

    SECTION("nesting beyond the limit")
    {
        const std::string deep(40, '[');
        checkSame(R"({"clockMs":1,"running":[],"finished":[],"other":)" + deep + std::string(40, ']') + '}');
    }
}

TEST_CASE("Orders are encoded with all their fields, and texts are escaped", "[platform]")
{
    Dispatch::start_order start { .worker = {},
        .task = { { "5c0e7a21d94b36f8" }, 2, 1, 17 },
        .run = { 1001 },
        .payload = "a \"quoted\" text\n\xc3\xa9 \xff",
        .deadline = { 81'000 } };
    json expected { { "task", "5c0e7a21d94b36f8.2.1.17" }, { "run", 1001 }, { "spec", "a \"quoted\" text\n\xc3\xa9 \xef\xbf\xbd" },
        { "deadlineMs", 81'000 }, { "fencingToken", 7 } };
    CHECK(json::parse(Platform::encodeStart(start, { 7 })) == expected);
    start.checkpoint = "c\\1";
    start.ticket = "t";
    expected["checkpoint"] = "c\\1";
    expected["ticket"] = "t";
    CHECK(json::parse(Platform::encodeStart(start, { 7 })) == expected);

    Dispatch::poll_order poll { .worker = {}, .acknowledgedEnd = { -1 } };
    CHECK(json::parse(Platform::encodePoll(poll, { 7 })) == json { { "fencingToken", 7 }, { "ackCursor", -1 } });
    poll.deadline = Dispatch::worker_millis { 5 };
    poll.wait = Common::millis(400);
    CHECK(json::parse(Platform::encodePoll(poll, { 7 }))
        == json { { "fencingToken", 7 }, { "ackCursor", -1 }, { "deadlineMs", 5 }, { "waitMs", 400 } });
}
