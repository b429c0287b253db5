#pragma once

#include "base/attempt.h"
#include "base/memorylimits.h"
#include "control/processcontrol.h"
#include "settings/settings.h"
#include "telemetry/logging.h"

#include <initializer_list>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace samphireswitch::control {

/**
 * Reads the settings again with @p load. Returns nothing if that fails; the failure is logged, and the process keeps
 * the settings in force.
 */
template<typename Load>
auto reloadSettings(const Load &load)
{
    auto outcome = attempt(load);
    using Settings = std::variant_alternative_t<0, decltype(outcome)>;
    if (auto *loaded = std::get_if<Settings>(&outcome)) {
        return std::optional<Settings>(std::move(*loaded));
    }
    telemetry::logEvent(telemetry::Severity::Error, "reload-failed", {{"reason", std::get<Error>(outcome).message}});
    return std::optional<Settings>();
}

/** Applies the settings of balancers and agents that can change at run time: the log level and the seeds. */
inline void
applyReloaded(const settings::ProcessSettings &loaded, const std::vector<Endpoint> &seeds, ControlNode &node)
{
    telemetry::setLogThreshold(loaded.logLevel);
    node.post(EventSource::Process, SeedsChanged {seeds});
    telemetry::logEvent(telemetry::Severity::Info, "reloaded", {{"seeds", seeds.size()}});
}

/**
 * Runs a process until it stops and returns its exit status: 0 after a regular stop, 1 if open() or run() failed,
 * s_outOfResourcesStatus if that was for want of memory or threads.
 * @p Process is constructed from @p settings and @p path, the path of the settings file, and has open() and run(). This
 * function starts the log, and logs the start of the process, with @p startedFields, and its end. The caller has called
 * blockSignals() before it read the settings.
 */
template<typename Process, typename Settings>
int runProcess(const Settings &settings,
               const std::string &path,
               std::initializer_list<telemetry::LogField> startedFields)
{
    telemetry::startLogging(settings.name, settings.logLevel);
    Process process(settings, path);
    const int status = boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(process.open());
            telemetry::logEvent(telemetry::Severity::Info, "started", startedFields);
            BOOST_LEAF_CHECK(process.run());
            return 0;
        },
        [](const Error &error) {
            telemetry::log(telemetry::Severity::Error, error.message);
            return error.code == ResultCode::OutOfResources ? s_outOfResourcesStatus : 1;
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
