#pragma once

#include "Common/Clock.h"
#include "Standins/WorkerStandin.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Sessions {

/// Records every task of all stand-in workers. Payloads carry `"name"` and `"team"`.
class task_audit final : public Standins::task_observer {
public:
    void onStarted(const std::string& worker, const std::string& payload) override;
    void onEnded(const std::string& worker, const std::string& payload) override;

    /// Number of times the task of that name was started.
    int starts(const std::string& name) const;
    /// Names that were started more than once.
    std::vector<std::string> startedTwice() const;
    /// Largest number of tasks of the team that ran at once.
    int maxRunning(const std::string& team) const;
    int runningNow(const std::string& team) const;
    int startsTotal() const;
    /// Starts on workers whose name begins with `prefix`, after `since`.
    int startsOn(const std::string& prefix, Common::instant since) const;

private:
    struct start_record {
        std::string worker;
        std::string name;
        Common::instant at;
    };

    mutable std::mutex m_lock;
    std::vector<start_record> m_starts;
    std::map<std::string, int> m_running;
    std::map<std::string, int> m_maxRunning;
};

}
