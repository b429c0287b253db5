#include "telemetry/logging.h"

#include "telemetry/linewriter.h"
#include "telemetry/lograte.h"

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <atomic>
#include <iostream>

namespace samphireswitch::telemetry {

namespace {

// Lines that wait while the reader of standard output is slow: some seconds of a busy process, below 1 MB.
constexpr std::size_t s_queuedLines = 2048;

std::atomic<Severity> s_threshold {Severity::Info};

/**
 * Hands formatted lines to the writer's thread. Boost.Log's own asynchronous sink passes records between threads inside
 * the library, which the thread sanitizer cannot follow.
 */
class LineBackend
    : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding>
{
public:
    explicit LineBackend(std::ostream &stream)
        : m_writer(stream, s_queuedLines)
    {
    }

    void consume(const boost::log::record_view &, const std::string &line)
    {
        m_writer.push(line);
    }

    std::uint64_t dropped() const
    {
        return m_writer.dropped();
    }

private:
    LineWriter m_writer;
};

using Logger = boost::log::sources::severity_logger_mt<Severity>;
using Sink = boost::log::sinks::synchronous_sink<LineBackend>;

const char *severityName(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return "debug";
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "unknown";
}

Logger &logger()
{
    static Logger s_logger;
    return s_logger;
}

LogRate &rate()
{
    static LogRate s_rate;
    return s_rate;
}

std::string &process()
{
    static std::string s_process;
    return s_process;
}

/** The sink of a running log. It is destroyed by stopLogging() only, since a static object may outlive what it uses. */
boost::shared_ptr<Sink> &runningSink()
{
    static auto *s_sink = new boost::shared_ptr<Sink>;
    return *s_sink;
}

std::string currentTime()
{
    return boost::posix_time::to_iso_extended_string(boost::posix_time::microsec_clock::universal_time()) + "Z";
}

boost::json::string_view toJsonView(std::string_view text)
{
    return {text.data(), text.size()};
}

boost::json::object newLine(Severity severity)
{
    boost::json::object line;
    line["time"] = currentTime();
    line["severity"] = severityName(severity);
    line["process"] = process();
    return line;
}

void addField(boost::json::object &line, const LogField &field)
{
    boost::json::value &target = line[toJsonView(field.name)];
    std::visit(
        [&target](const auto &value) {
            if constexpr (std::is_same_v<std::decay_t<decltype(value)>, std::string_view>) {
                target = toJsonView(value);
            } else {
                target = value;
            }
        },
        field.value);
}

boost::json::object toObject(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    boost::json::object line = newLine(severity);
    line["event"] = toJsonView(event);
    for (const LogField &field : fields) {
        addField(line, field);
    }
    return line;
}

void write(Severity severity, const boost::json::object &line)
{
    BOOST_LOG_SEV(logger(), severity) << boost::json::serialize(line);
}

} // namespace

void startLogging(std::string_view processName, Severity threshold)
{
    process() = processName;
    s_threshold = threshold;
    auto sink = boost::make_shared<Sink>(boost::make_shared<LineBackend>(std::cout));
    sink->set_formatter([](const boost::log::record_view &record, boost::log::formatting_ostream &stream) {
        const auto message = record[boost::log::expressions::smessage];
        stream << (message ? *message : std::string());
    });
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(sink);
    runningSink() = sink;
}

void stopLogging()
{
    if (!runningSink()) {
        return;
    }
    boost::log::core::get()->remove_sink(runningSink());
    runningSink().reset();
}

void setLogThreshold(Severity threshold)
{
    s_threshold = threshold;
}

void log(Severity severity, std::string_view message)
{
    if (severity < s_threshold) {
        return;
    }
    boost::json::object line = newLine(severity);
    line["message"] = toJsonView(message);
    write(severity, line);
}

void logEvent(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    std::uint64_t suppressed = 0;
    if (severity < s_threshold || !rate().tryAcquire(event, Clock::now(), suppressed)) {
        return;
    }
    boost::json::object line = toObject(severity, event, fields);
    if (suppressed > 0) {
        line["suppressed_before"] = suppressed;
    }
    write(severity, line);
}

std::string eventLine(Severity severity, std::string_view event, std::initializer_list<LogField> fields)
{
    return boost::json::serialize(toObject(severity, event, fields));
}

void logLine(const std::string &line)
{
    BOOST_LOG_SEV(logger(), Severity::Info) << line;
}

LogCounters logCounters()
{
    const std::uint64_t dropped = runningSink() ? runningSink()->locked_backend()->dropped() : 0;
    return {rate().suppressed(), dropped};
}

bool parseSeverity(std::string_view text, Severity &severity)
{
    for (const Severity candidate : {Severity::Debug, Severity::Info, Severity::Warning, Severity::Error}) {
        if (text != severityName(candidate)) {
            continue;
        }
        severity = candidate;
        return true;
    }
    return false;
}

} // namespace samphireswitch::telemetry
