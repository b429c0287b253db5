#include "commands/timeline.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <tuple>

namespace samphireswitch::commands {

namespace {

using telemetry::EventRecord;

constexpr long s_microsecondsPerSecond = 1'000'000;

std::string wallClockText(std::chrono::system_clock::time_point time)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    const std::time_t seconds = microseconds / s_microsecondsPerSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date {};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 48> text {};
    std::snprintf(text.data(), text.size(), "%s.%06ldZ", date.data(), microseconds % s_microsecondsPerSecond);
    return text.data();
}

bool isPart(const std::string &part, const std::string &text)
{
    return part.empty() || text.find(part) != std::string::npos;
}

} // namespace

bool TimelineFilter::admits(const EventRecord &event) const
{
    const bool isOfRequest = isPart(request, event.flow) || isPart(request, event.detail);
    return isPart(flow, event.flow) && isOfRequest && (service.empty() || service == event.service)
        && (host.empty() || host == event.host) && (generation == 0 || generation == event.generation);
}

Timeline::Timeline(TimelineFilter filter)
    : m_filter(std::move(filter))
{
}

void Timeline::add(const std::vector<EventRecord> &events)
{
    std::ranges::copy_if(
        events, std::back_inserter(m_events), [this](const EventRecord &event) { return m_filter.admits(event); });
}

std::vector<EventRecord> Timeline::ordered() const
{
    std::vector<EventRecord> events = m_events;
    std::ranges::stable_sort(events, [](const EventRecord &first, const EventRecord &second) {
        return std::tie(first.logicalTime, first.process, first.sequence)
            < std::tie(second.logicalTime, second.process, second.sequence);
    });
    return events;
}

std::string Timeline::toText(const EventRecord &event)
{
    std::string text = std::to_string(event.logicalTime) + ' ' + wallClockText(event.wallClock) + ' ' + event.process
        + ' ' + event.kind;
    const auto addField = [&text](const char *name, const std::string &value) {
        if (!value.empty()) {
            text += std::string(" ") + name + '=' + value;
        }
    };
    addField("flow", event.flow);
    addField("service", event.service);
    addField("host", event.host);
    addField("generation", event.generation == 0 ? std::string() : std::to_string(event.generation));
    addField("detail", event.detail);
    return text;
}

} // namespace samphireswitch::commands
