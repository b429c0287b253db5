#pragma once

namespace samphireswitch {

/** Exit status of a process that ended because memory, address space or threads were short. */
constexpr int s_outOfResourcesStatus = 3;

/**
 * Keeps the address space of this process small, and lets the process end with a message and s_outOfResourcesStatus
 * when an allocation fails. Call before the first thread is started.
 */
void prepareForMemoryLimits();

} // namespace samphireswitch
