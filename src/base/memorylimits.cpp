#include "base/memorylimits.h"

#include <malloc.h>
#include <unistd.h>

#include <new>
#include <string_view>

namespace samphireswitch {

namespace {

constexpr std::string_view s_outOfMemory =
    "samphireswitch: out of memory: the limit of memory or address space of this process is too low\n";

/** Called by operator new in any thread. Allocates nothing. */
[[noreturn]] void endForWantOfMemory()
{
    [[maybe_unused]] const auto written = write(STDERR_FILENO, s_outOfMemory.data(), s_outOfMemory.size());
    _exit(s_outOfResourcesStatus);
}

} // namespace

void prepareForMemoryLimits()
{
    // An arena for each thread reserves 64 MiB of address space.
    mallopt(M_ARENA_MAX, 1);
    std::set_new_handler(endForWantOfMemory);
}

} // namespace samphireswitch
