#pragma once

#include <chrono>

namespace samphireswitch::tests {

/**
 * Time limit for a step whose duration is not the subject of the test. Longer than the slowest and busiest machine
 * takes, so that only a step that never ends reaches it.
 */
constexpr std::chrono::seconds s_ampleTime {60};

} // namespace samphireswitch::tests
