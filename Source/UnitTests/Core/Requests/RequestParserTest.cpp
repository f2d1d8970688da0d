#include "Requests/RequestParser.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using Requests::request_fault_kind;

namespace {

struct bad_input {
    const char* text;
    request_fault_kind kind;
    const char* field;
};

}

TEST_CASE("Each field of a request is validated")
{
    Requests::request_fault fault;

    SECTION("a request with all fields is parsed")
    {
        const auto parsed = Requests::parseSubmission(
            R"({"id":"r1","queue":"q","team":"t","key":"k","needs":{"cores":2,"memoryMb":10},"idempotent":true,)"
            R"("deadlineMs":500,"payload":"p"})",
            fault);
        REQUIRE(parsed);
        CHECK(parsed->work.needs.cores.value == 2);
        CHECK(parsed->work.remaining == Common::millis(500));
        CHECK(parsed->work.idempotent);
        CHECK_FALSE(parsed->queued);
    }
    SECTION("a request is not idempotent unless it says so")
    {
        CHECK_FALSE(Requests::parseSubmission(R"({"id":"r","queue":"q","deadlineMs":5})", fault)->work.idempotent);
    }
    SECTION("each fault names its field")
    {
        const std::vector<bad_input> inputs {
            { "", request_fault_kind::NotJson, "" },
            { "[]", request_fault_kind::NotJson, "" },
            { R"({"queue":"q","deadlineMs":5})", request_fault_kind::Missing, "id" },
            { R"({"id":"r","queue":"q"})", request_fault_kind::Missing, "deadlineMs" },
            { R"({"id":1,"queue":"q","deadlineMs":5})", request_fault_kind::WrongType, "id" },
            { R"({"id":"r r","queue":"q","deadlineMs":5})", request_fault_kind::BadCharacter, "id" },
            { R"({"id":"r","queue":"q","deadlineMs":0})", request_fault_kind::OutOfRange, "deadlineMs" },
            { R"({"id":"r","queue":"q","deadlineMs":99999999999999999999})", request_fault_kind::WrongType,
                "deadlineMs" },
            { R"({"id":"r","queue":"q","deadlineMs":5,"extra":1})", request_fault_kind::UnknownField, "extra" },
            { R"({"id":"r","queue":"q","deadlineMs":5,"needs":{"cores":0}})", request_fault_kind::OutOfRange,
                "needs.cores" },
            { R"({"id":"r","queue":"q","deadlineMs":5,"needs":7})", request_fault_kind::WrongType, "needs" },
        };
        for (const auto& input : inputs) {
            CAPTURE(input.text);
            CHECK_FALSE(Requests::parseSubmission(input.text, fault));
            CHECK(fault.kind == input.kind);
            CHECK(fault.field == input.field);
        }
    }
    SECTION("a payload over the limit is refused")
    {
        const std::string large(Requests::maxPayloadBytes + 1, 'x');
        CHECK_FALSE(
            Requests::parseSubmission(R"({"id":"r","queue":"q","deadlineMs":5,"payload":")" + large + "\"}", fault));
        CHECK(fault.kind == request_fault_kind::TooLong);
    }
    SECTION("deeply nested input is refused")
    {
        CHECK_FALSE(Requests::parseSubmission(std::string(100'000, '['), fault));
        CHECK(fault.kind == request_fault_kind::NotJson);
    }
    SECTION("no input makes the parser crash")
    {
        CHECK(rc::check("request fuzz", [](const std::string& text) {
            Requests::request_fault reason;
            (void)Requests::parseSubmission(text, reason);
            (void)Requests::parseReference(text, reason);
        }));
        CHECK(rc::check("damaged request fuzz", [](std::uint16_t position, char byte) {
            std::string text = R"({"id":"r","queue":"q","deadlineMs":5,"needs":{"cores":1},"payload":"p"})";
            text[position % text.size()] = byte;
            Requests::request_fault reason;
            (void)Requests::parseSubmission(text, reason);
        }));
    }
}
