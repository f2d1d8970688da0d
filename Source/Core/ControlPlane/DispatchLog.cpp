#include "ControlPlane/DispatchLog.h"

#include "Common/Logging.h"

#include <vector>

namespace ControlPlane {

namespace {

    const char* toText(Dispatch::order_outcome outcome)
    {
        using enum Dispatch::order_outcome;
        switch (outcome) {
        case Done:
            return "done";
        case Dispatch::order_outcome::Fenced:
            return "fenced";
        case StaleRun:
            return "old_run";
        case DeadlinePassed:
            return "late";
        case NoRoom:
            return "no_room";
        case NoTicket:
            return "no_ticket";
        case OtherIncarnation:
            return "other_life";
        case Unhealthy:
            return "unhealthy";
        case Invalid:
            return "invalid";
        case NotSent:
            return "not_sent";
        case NoAnswer:
            break;
        }
        return "no_answer";
    }

    const char* toText(Dispatch::end_kind kind)
    {
        using enum Dispatch::end_kind;
        switch (kind) {
        case Done:
            return "done";
        case Failed:
            return "failed";
        case Stopped:
            return "stopped";
        case LeaseExpired:
            return "lapsed";
        case GangMemberEnded:
            return "broken";
        case GangIncomplete:
            break;
        }
        return "alone";
    }

    const char* toText(Dispatch::stop_reason reason)
    {
        using enum Dispatch::stop_reason;
        switch (reason) {
        case JobFinished:
            return "job_over";
        case StartUnanswered:
            return "start_unanswered";
        case Stalled:
            return "stalled";
        case TaskDone:
            return "task_done";
        case NotWanted:
            return "not_wanted";
        case Evicted:
            break;
        }
        return "evicted";
    }

    const char* toText(Dispatch::reconciliation_reason reason)
    {
        return reason == Dispatch::reconciliation_reason::EndsListed ? "ends_listed" : "leases_expired";
    }

    std::string taskText(const Jobs::task_name& task)
    {
        return std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
    }

}

const char* toText(Dispatch::dispatch_event_kind kind)
{
    using enum Dispatch::dispatch_event_kind;
    switch (kind) {
    case Adopted:
        return "run_adopted";
    case Started:
        return "started";
    case StartRefused:
        return "start_refused";
    case StartOutcomeUnknown:
        return "start_unsettled";
    case StopOrdered:
        return "stop_ordered";
    case Ended:
        return "ended";
    case RunMissing:
        return "run_vanished";
    case EndListCut:
        return "end_list_cut";
    case EndListComplete:
        return "end_list_complete";
    case Stalled:
        return "run_stalled";
    case WorkerUnresponsive:
        return "worker_silent";
    case WorkerLeaseExpired:
        return "worker_lapsed";
    case WorkerRestarted:
        return "worker_reborn";
    case WorkerReconciled:
        return "worker_reconciled";
    case WorkerUnreconciled:
        return "worker_unreconciled";
    case SentWithoutLog:
        return "sent_without_log";
    case RunUndetermined:
        return "run_undetermined";
    case CrashNoted:
        return "crash_noted";
    case CrashSuspected:
        return "crash_suspected";
    case CrashSuspicionCleared:
        return "crash_suspicion_cleared";
    case JobPostponed:
        return "job_postponed";
    case JobResumed:
        return "job_resumed";
    case LaneRaised:
        return "run_numbers_raised";
    case CrashingTaskGivenUp:
        return "crashing_task_given_up";
    case WorkerSuspected:
        return "worker_distrusted";
    case JobFinished:
        return "job_over";
    case Fenced:
        break;
    }
    return "fenced";
}

void report(const Dispatch::dispatch_event& event)
{
    const bool isWarning = event.kind == Dispatch::dispatch_event_kind::StartRefused
        || event.kind == Dispatch::dispatch_event_kind::RunMissing
        || event.kind == Dispatch::dispatch_event_kind::WorkerLeaseExpired;
    std::string detail;
    if (event.outcome)
        detail = toText(*event.outcome);
    else if (event.end)
        detail = toText(*event.end);
    else if (event.stop)
        detail = toText(*event.stop);
    else if (event.reconciliation)
        detail = toText(*event.reconciliation);
    else if (event.state)
        detail = std::to_string(static_cast<int>(*event.state));
    const auto level = isWarning ? Common::log_level::Warning : Common::log_level::Info;
    std::vector<Common::log_field> fields { { "job", event.task.job.value }, { "task", taskText(event.task) },
        { "worker", event.worker.value }, { "run", std::to_string(event.run.value) }, { "detail", detail } };
    if (event.answeredAfter)
        fields.push_back({ "answered_ms", std::to_string(event.answeredAfter->count()) });
    if (event.postponed) {
        fields.push_back({ "team", event.postponed->team.value });
        fields.push_back({ "priority", std::to_string(event.postponed->priority) });
        fields.push_back({ "due_in_ms", std::to_string(event.postponed->dueIn.count()) });
        fields.push_back({ "left_core_ms", std::to_string(event.postponed->left.value / 1000) });
        fields.push_back({ "pool_cores", std::to_string(event.postponed->capacity.value / 1000) });
    }
    if (event.disputedFor)
        fields.push_back({ "disputed_ms", std::to_string(event.disputedFor->count()) });
    Common::writeEvent(level, Common::log_category::Dispatch, toText(event.kind), fields);
}

}
