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

/// Body of a submission whose task tells the audit its name and team, and answers "answer of NAME".
std::string submissionOf(const request_options&);
/// Answer that the task gives.
std::string answerOf(const std::string& name);

/// Callers that keep a deployment busy from threads of their own, each with one request at a time, and
/// remember what became of each request.
class caller_crowd {
public:
    struct options {
        int callers { 8 };
        int runMillis { 20 };
        bool idempotent { true };
        std::vector<int> daemons { 0 };
        std::string team { "day" };
        int deadlineMillis { 20'000 };
    };

    caller_crowd(deployment&, options);
    ~caller_crowd();
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;

    void stop();
    /// Requests with an outcome so far.
    int finished() const { return m_finished; }

    struct record {
        std::string name;
        std::string outcome;
        std::string reason;
        bool rightAnswer { false };
    };
    std::vector<record> records() const;
    int count(const std::string& outcome) const;

private:
    void call(int number);

    deployment& m_deployment;
    options m_options;
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_finished { 0 };
    mutable std::mutex m_lock;
    std::vector<record> m_records;
    std::vector<std::thread> m_threads;
};

}
