#include "Common/Logging.h"

#include "Common/LineWriter.h"
#include "Common/LogLine.h"

#include <array>
#include <cstdlib>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>
#include <memory>
#include <span>
#include <unistd.h>

namespace Common {

namespace {

    std::string& instanceName()
    {
        static std::string name;
        return name;
    }

    struct level_table {
        log4cxx::LevelPtr debug { log4cxx::Level::getDebug() };
        log4cxx::LevelPtr info { log4cxx::Level::getInfo() };
        log4cxx::LevelPtr warning { log4cxx::Level::getWarn() };
        log4cxx::LevelPtr error { log4cxx::Level::getError() };
    };

    const level_table& levels()
    {
        static const level_table table;
        return table;
    }

    const log4cxx::LevelPtr& toLevel(log_level level)
    {
        switch (level) {
        case log_level::Debug:
            return levels().debug;
        case log_level::Info:
            return levels().info;
        case log_level::Warning:
            return levels().warning;
        case log_level::Error:
            break;
        }
        return levels().error;
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

    constexpr std::size_t categoryCount = static_cast<std::size_t>(log_category::Store) + 1;

    /// The loggers of all categories; a look-up by name takes a lock and copies the name.
    const log4cxx::LoggerPtr& loggerOf(log_category category)
    {
        static const auto loggers = [] {
            std::array<log4cxx::LoggerPtr, categoryCount> all;
            for (std::size_t index = 0; index < categoryCount; ++index)
                all.at(index) = log4cxx::Logger::getLogger(std::string(toName(static_cast<log_category>(index))));
            return all;
        }();
        return loggers.at(static_cast<std::size_t>(category));
    }

    /// Event with the fields of writeEvent(), which outlive the call to the appenders.
    class fields_event : public log4cxx::spi::LoggingEvent {
    public:
        fields_event(const log4cxx::LogString& logger, const log4cxx::LevelPtr& level,
            const log4cxx::LogString& message, std::span<const log_field> fields)
            : LoggingEvent(logger, level, message, log4cxx::spi::LocationInfo::getLocationUnavailable())
            , m_fields(fields)
        {
        }

        std::span<const log_field> fields() const { return m_fields; }

    private:
        std::span<const log_field> m_fields;
    };

    std::string makeDropReport(std::uint64_t count)
    {
        std::string line;
        const std::array<log_field, 1> fields { { { "count", std::to_string(count) } } };
        appendLogLine(line,
            { .when = std::chrono::system_clock::now(),
                .level = "WARN",
                .logger = toName(log_category::Daemon),
                .message = "log_lines_dropped",
                .instance = instanceName(),
                .fields = fields });
        line.pop_back();
        return line;
    }

    /// Appender that writes events as JSON lines through a line_writer.
    class json_line_appender : public log4cxx::AppenderSkeleton {
    public:
        explicit json_line_appender(int descriptor)
            : m_writer({ .descriptor = descriptor, .reportDropped = makeDropReport })
        {
        }

        void close() override { m_writer.stop(); }
        bool requiresLayout() const override { return false; }

    protected:
        void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& /*pool*/) override
        {
            thread_local std::string text;
            text.clear();
            const auto* withFields = dynamic_cast<const fields_event*>(event.get());
            const auto& level = event->getLevel();
            appendLogLine(text,
                { .when = event->getChronoTimeStamp(),
                    .level = level->toString(),
                    .logger = event->getLoggerName(),
                    .message = event->getMessage(),
                    .instance = instanceName(),
                    .fields = withFields != nullptr ? withFields->fields() : std::span<const log_field>() });
            m_writer.write(text, level->isGreaterOrEqual(levels().error));
        }

    private:
        line_writer m_writer;
    };

    log4cxx::AppenderPtr& currentAppender()
    {
        static log4cxx::AppenderPtr appender;
        return appender;
    }

}

void startLogging(log_level lowest, std::string_view instance, log_output output)
{
    stopLogging();
    instanceName() = instance;
    currentAppender()
        = std::make_shared<json_line_appender>(output == log_output::StandardOutput ? STDOUT_FILENO : STDERR_FILENO);
    log4cxx::BasicConfigurator::configure(currentAppender());
    log4cxx::Logger::getRootLogger()->setLevel(toLevel(lowest));
    [[maybe_unused]] static const int isRegistered = std::atexit(stopLogging);
}

void stopLogging()
{
    if (!currentAppender())
        return;
    log4cxx::Logger::getRootLogger()->removeAppender(currentAppender());
    currentAppender()->close();
    currentAppender().reset();
}

void writeLog(log_level level, log_category category, std::string_view message)
{
    writeEvent(level, category, message, std::span<const log_field>());
}

void writeEvent(
    log_level level, log_category category, std::string_view event, std::initializer_list<log_field> fields)
{
    writeEvent(level, category, event, std::span<const log_field>(fields.begin(), fields.size()));
}

void writeEvent(log_level level, log_category category, std::string_view event, std::span<const log_field> fields)
{
    const auto& logger = loggerOf(category);
    if (!logger->isEnabledFor(toLevel(level)))
        return;
    thread_local log4cxx::helpers::Pool pool;
    logger->callAppenders(
        std::make_shared<fields_event>(logger->getName(), toLevel(level), std::string(event), fields), pool);
}

}
