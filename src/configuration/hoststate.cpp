#include "configuration/hoststate.h"

namespace samphireswitch::configuration {

std::string_view hostStateName(HostState state)
{
    switch (state) {
    case HostState::Active:
        return "active";
    case HostState::Draining:
        return "draining";
    case HostState::Stopped:
        return "stopped";
    }
    return "unknown";
}

std::optional<HostState> parseHostState(std::string_view text)
{
    for (const HostState state : {HostState::Active, HostState::Draining, HostState::Stopped}) {
        if (text == hostStateName(state)) {
            return state;
        }
    }
    return std::nullopt;
}

} // namespace samphireswitch::configuration
