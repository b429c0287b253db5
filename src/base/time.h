#pragma once

#include <chrono>

namespace samphireswitch {

/** The clock of every decision. It never steps, so that a change of the wall clock cannot expire or revive state. */
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

} // namespace samphireswitch
