#include "Client/Verbs.h"

#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>

// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(operators, "127.0.0.1:7003", "IP:PORT of a daemon's listener for operators");
DEFINE_string(callers, "127.0.0.1:7001", "IP:PORT of a daemon's listener for callers");
DEFINE_string(key_file, "", "file with the key; without it the environment variable LOFT_KEY is used");
DEFINE_string(id, "", "identifier of a change; repeat a change with the same one after a lost answer");
DEFINE_string(why, "", "reason for a change, stored in the history");
DEFINE_int32(wait_ms, 10000, "how many milliseconds to wait until all daemons have applied a change");
DEFINE_bool(json, false, "print JSON instead of tables");
DEFINE_string(team, "", "team of a request; by default the team of the key");
DEFINE_string(payload, "", "payload of a request");
DEFINE_int64(deadline_ms, 5000, "milliseconds after which a request expires");
DEFINE_bool(idempotent, false, "the request may run more than once");
DEFINE_bool(queued, false, "return once the request is queued, without waiting for its result");
DEFINE_bool(open, false, "the new queue accepts requests without a key");
DEFINE_int64(open_limit, 0, "slots that requests without a key may use at once");
// NOLINTEND(readability-identifier-naming)

namespace {

std::string readKey()
{
    if (!FLAGS_key_file.empty()) {
        std::ifstream file(FLAGS_key_file);
        std::string key;
        std::getline(file, key);
        return key;
    }
    const char* const fromEnvironment = std::getenv("LOFT_KEY");
    return fromEnvironment ? fromEnvironment : "";
}

std::optional<Common::endpoint> readAddress(const std::string& text, const char* flag)
{
    auto address = Common::parseEndpoint(text);
    if (!address)
        std::cerr << "loftctl: --" << flag << " must be IP:PORT\n";
    return address;
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(Client::usageText());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto operators = readAddress(FLAGS_operators, "operators");
    const auto callers = readAddress(FLAGS_callers, "callers");
    if (!operators || !callers || sodium_init() < 0)
        return static_cast<int>(Client::exit_code::Usage);
    const Client::client_options options { .operators = *operators,
        .callers = *callers,
        .key = readKey(),
        .id = FLAGS_id,
        .why = FLAGS_why,
        .wait = Common::millis(FLAGS_wait_ms),
        .asJson = FLAGS_json,
        .team = FLAGS_team,
        .payload = FLAGS_payload,
        .deadlineMillis = FLAGS_deadline_ms,
        .idempotent = FLAGS_idempotent,
        .queued = FLAGS_queued,
        .open = FLAGS_open,
        .openLimit = FLAGS_open_limit };
    const std::vector<std::string> words(argv + 1, argv + argc);
    return static_cast<int>(Client::runVerb(options, words));
}
