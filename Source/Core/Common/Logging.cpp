#include "Common/Logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>
#include <memory>
#include <string>
#include <vector>

namespace Common {

namespace {

    std::string& instanceName()
    {
        static std::string name;
        return name;
    }

    log4cxx::LevelPtr toLevel(log_level level)
    {
        switch (level) {
        case log_level::Debug:
            return log4cxx::Level::getDebug();
        case log_level::Info:
            return log4cxx::Level::getInfo();
        case log_level::Warning:
            return log4cxx::Level::getWarn();
        case log_level::Error:
            break;
        }
        return log4cxx::Level::getError();
    }

    const char* toName(log_category category)
    {
        switch (category) {
        case log_category::Daemon:
            return "daemon";
        case log_category::PlatformLog:
            return "platform_log";
        case log_category::Membership:
            return "roster";
        case log_category::Limits:
            return "limits";
        case log_category::Pool:
            return "pool";
        case log_category::Targets:
            return "targets";
        case log_category::Requests:
            return "requests";
        case log_category::Jobs:
            return "jobs";
        case log_category::Dispatch:
            return "dispatch";
        case log_category::Capacity:
            return "capacity";
        case log_category::Store:
            break;
        }
        return "store";
    }

}

void startLogging(log_level lowest, std::string_view instance, log_output output)
{
    instanceName() = instance;
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, output == log_output::StandardOutput ? LOG4CXX_STR("System.out") : LOG4CXX_STR("System.err"));
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(toLevel(lowest));
}

void writeLog(log_level level, log_category category, std::string_view message)
{
    const log4cxx::MDC instance("instance", instanceName());
    const auto logger = log4cxx::Logger::getLogger(std::string(toName(category)));
    logger->log(toLevel(level), std::string(message));
}

void writeEvent(
    log_level level, log_category category, std::string_view event, std::initializer_list<log_field> fields)
{
    const auto logger = log4cxx::Logger::getLogger(std::string(toName(category)));
    if (!logger->isEnabledFor(toLevel(level)))
        return;
    std::vector<std::unique_ptr<log4cxx::MDC>> context;
    context.reserve(fields.size() + 1);
    context.push_back(std::make_unique<log4cxx::MDC>("instance", instanceName()));
    for (const auto& field : fields)
        context.push_back(std::make_unique<log4cxx::MDC>(field.name, field.value));
    logger->log(toLevel(level), std::string(event));
}

}
