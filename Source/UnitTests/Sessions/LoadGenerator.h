#pragma once

#include "Sessions/Deployment.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Sessions {

struct request_options {
    std::string name;
    std::string team { "day" };
    int runMillis { 0 };
    bool idempotent { true };
    bool queued { false };
    int deadlineMillis { 20'000 };
    std::string queue { "routing" };
    std::string key {};
};

/// Body of a submission. Its payload carries the name and team for the audit; the task's answer is "answer of NAME".
std::string submissionOf(const request_options&);
/// Answer of the task with that name.
std::string answerOf(const std::string& name);

/// Calls a deployment from several threads, each with one open request at a time, and records the outcome
/// of each request.
class load_generator {
public:
    struct options {
        int callers { 8 };
        int runMillis { 20 };
        bool idempotent { true };
        std::vector<int> daemons { 0 };
        std::string team { "day" };
        int deadlineMillis { 20'000 };
    };

    load_generator(deployment&, options);
    ~load_generator();
    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    void stop();
    /// Requests with an outcome so far.
    int finished() const { return m_finished; }

    struct record {
        std::string name;
        std::string outcome;
        std::string reason;
        /// The request got the answer of its own task.
        bool hasOwnAnswer { false };
    };
    std::vector<record> records() const;
    int count(const std::string& outcome) const;

private:
    void callUntilStopped(int number);

    deployment& m_deployment;
    options m_options;
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_finished { 0 };
    mutable std::mutex m_lock;
    std::vector<record> m_records;
    std::vector<std::thread> m_threads;
};

}
