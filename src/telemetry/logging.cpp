#include "telemetry/logging.h"

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <iostream>

namespace samphireswitch::telemetry {

namespace {

using Logger = boost::log::sources::severity_logger_mt<Severity>;
using Sink = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;

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

std::string currentTime()
{
    return boost::posix_time::to_iso_extended_string(boost::posix_time::microsec_clock::universal_time()) + "Z";
}

} // namespace

void startLogging(std::string_view processName, Severity threshold)
{
    auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream *) {}));
    backend->auto_flush(true);
    auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter([process = std::string(processName)](const boost::log::record_view &record,
                                                             boost::log::formatting_ostream &stream) {
        const auto severity = boost::log::extract<Severity>("Severity", record);
        const auto message = record[boost::log::expressions::smessage];
        const boost::json::value line = {{"time", currentTime()},
                                         {"severity", severityName(severity ? *severity : Severity::Info)},
                                         {"process", process},
                                         {"message", message ? *message : std::string()}};
        stream << boost::json::serialize(line);
    });
    sink->set_filter([threshold](const boost::log::attribute_value_set &attributes) {
        const auto severity = boost::log::extract<Severity>("Severity", attributes);
        return severity && *severity >= threshold;
    });
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(sink);
}

void log(Severity severity, std::string_view message)
{
    BOOST_LOG_SEV(logger(), severity) << message;
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
