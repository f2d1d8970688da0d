#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <httplib.h>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// The platform's store as PROTOCOL.md describes it: a log of topics and partitions with conditional and idempotent appends.
class store_standin {
public:
    store_standin();
    ~store_standin();
    int port() const { return m_port; }
    void stop();
    /// What the operator and the workers write.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Adds records as they stand after `count` further jobs: those of the jobs `ids`, again and again under ids of their own.
    /// Returns the bytes of all newest records then.
    std::size_t multiplyJobs(const std::vector<std::string>& ids, int count);

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct stored_append {
        std::int64_t sequence { 0 };
        std::string answer;
    };
    struct producer_state {
        std::int64_t epoch { 0 };
        std::int64_t next { 0 };
        std::deque<stored_append> last;
    };
    struct partition {
        std::vector<record> records;
        std::map<std::string, std::int64_t> newest;
        std::map<std::string, producer_state> producers;
    };

    void onAppend(const httplib::Request&, httplib::Response&);
    void onRead(const httplib::Request&, httplib::Response&);
    void onNewest(const httplib::Request&, httplib::Response&);
    partition& partitionOf(const httplib::Request&);
    static void add(partition&, record);

    std::mutex m_lock;
    std::condition_variable m_changed;
    bool m_isStopping { false };
    std::map<std::string, partition> m_partitions;
    httplib::Server m_server;
    std::thread m_thread;
    int m_port { 0 };
};

/// Settings that both kinds of stand-in server need: many idle connections, no delay.
void prepareServer(httplib::Server&, std::size_t threads);
