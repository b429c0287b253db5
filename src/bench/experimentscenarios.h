#pragma once

#include "bench/experimentloop.h"
#include "bench/experimentworkload.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace samphireswitch::bench {

/** One measured figure of one run. A reference that does not apply is NaN. */
struct Figure
{
    std::string scenario;
    std::string service;
    std::string name;
    double system = 0;
    double baseline = 0;
    double ideal = 0;
};

struct ScenarioSettings
{
    std::chrono::milliseconds serviceTime {0};
    std::chrono::milliseconds deadline {0};
    double load = 0;
    double surge = 0;
    double longShare = 0;
    double longFactor = 0;
    admission::AdmissionSettings admission;
};

/** Load below the capacity with a few requests that are many times longer. */
std::vector<Figure> runSteady(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed);

/** Ten seconds of more requests than the capacity, between times at the usual load. */
std::vector<Figure> runSurge(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed);

/** A host joins; a host drains. The load refers to the capacity without that host. */
std::vector<Figure> runJoin(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed);
std::vector<Figure> runDrain(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed);

/** A host closes connections at once, or answers with errors at once. */
std::vector<Figure> runFailFast(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed);
std::vector<Figure> runAnswerErrors(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed);

/** Long-lived feeds, and a host that joins. */
std::vector<Figure> runFeeds(const ServiceShape &shape, const ScenarioSettings &settings, std::uint64_t seed);

} // namespace samphireswitch::bench
