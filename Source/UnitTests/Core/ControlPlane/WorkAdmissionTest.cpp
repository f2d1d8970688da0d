#include "ControlPlane/WorkAdmission.h"

#include <catch2/catch.hpp>

namespace {

struct admission_fixture {
    explicit admission_fixture(std::size_t limit)
        : admission(limit)
    {
    }

    bool admit(std::size_t bytes, std::size_t open = 0) { return admission.admit(bytes, open, confirmed, now); }

    /// The view is read to its end.
    void read()
    {
        now += std::chrono::milliseconds(10);
        confirmed = now;
        now += std::chrono::milliseconds(10);
    }

    ControlPlane::work_admission admission;
    Common::instant now { std::chrono::seconds(100) };
    std::optional<Common::instant> confirmed;
};

}

TEST_CASE("Accepted work stays within the limit, also while it is being stored", "[admission]")
{
    admission_fixture s(1000);
    CHECK(s.admit(600));
    s.read();
    CHECK_FALSE(s.admit(500));
    CHECK_FALSE(s.admit(1001));
    s.read();
    CHECK(s.admit(400));
    s.read();
    CHECK_FALSE(s.admit(1));

    SECTION("what was stored is in the view")
    {
        s.admission.settle(600);
        s.read();
        CHECK_FALSE(s.admit(1, 600));
    }
    SECTION("what wasn't makes room")
    {
        s.admission.settle(600);
        s.read();
        CHECK(s.admit(600));
    }
    SECTION("so do jobs that have ended")
    {
        s.admission.settle(600);
        s.admission.settle(400);
        s.read();
        CHECK_FALSE(s.admit(100, 950));
        CHECK(s.admit(100, 500));
    }
}

TEST_CASE("Instances that haven't read each other's jobs don't exceed the limit by more than a job each", "[admission]")
{
    constexpr std::size_t limit = 160'000;
    constexpr int instances = 9;
    constexpr std::size_t jobBytes = 100;
    std::vector<admission_fixture> all(instances, admission_fixture(limit));
    std::size_t stored = 0;
    for (int round = 0; round < 200; ++round) {
        const auto known = stored;
        for (auto& each : all) {
            each.read();
            while (each.admit(jobBytes, known)) {
                each.admission.settle(jobBytes);
                stored += jobBytes;
            }
        }
        // Each may store one job, however large, before it has read the others'.
        REQUIRE(stored <= limit + (instances - 1) * jobBytes);
    }
    // And nearly all of it can be used.
    CHECK(stored > limit * 9 / 10);
}

TEST_CASE("A large job that fits is admitted, though it is more than an instance's part of what is left", "[admission]")
{
    admission_fixture s(1000);
    CHECK(s.admit(900));
}

TEST_CASE("Limits for accepted work leave half of a process's memory to the rest", "[admission]")
{
    for (const std::size_t megabytes : { 1U, 64U, 160U, 260U, 4096U }) {
        const auto limits = ControlPlane::workLimitsFor(megabytes);
        const auto placed = static_cast<std::size_t>(limits.placedTasks) * 1024;
        CHECK(limits.openJobBytes + placed <= megabytes * 1024 * 1024 / 2);
    }
    CHECK(ControlPlane::workLimitsFor(std::nullopt).openJobBytes == ControlPlane::work_limits().openJobBytes);
}
