#pragma once

#include "control/processcontrol.h"
#include "settings/settings.h"
#include "telemetry/logging.h"

#include <initializer_list>
#include <string>

namespace samphireswitch::control {

/**
 * Runs a process of the type @p Process, which is constructed from its settings and the path of the settings file and
 * has open() and run(): blocks the signals, starts the log, and logs the start with @p startedFields and the end.
 * Returns the exit status.
 */
template<typename Process, typename Settings>
int runProcess(const Settings &settings,
               const std::string &path,
               std::initializer_list<telemetry::LogField> startedFields)
{
    blockSignals();
    telemetry::startLogging(settings.name, settings.logLevel);
    Process process(settings, path);
    const int status = boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(process.open());
            telemetry::logEvent(telemetry::Severity::Info, "started", startedFields);
            process.run();
            return 0;
        },
        [](const Error &error) {
            telemetry::log(telemetry::Severity::Error, error.message);
            return 1;
        },
        []() {
            telemetry::log(telemetry::Severity::Error, "the failure carries no error object");
            return 1;
        });
    telemetry::logEvent(telemetry::Severity::Info, "stopped", {{"status", status}});
    telemetry::stopLogging();
    return status;
}

} // namespace samphireswitch::control
