#pragma once

#include "base/identifiers.h"
#include "base/time.h"

namespace samphireswitch::balancer {

/** A read of the store that found no newer configuration than the one with this generation. */
struct StoreConfirmation
{
    Generation generation = 0;
    /** When the read began; the epoch of the clock if no read has succeeded. */
    TimePoint at;
};

} // namespace samphireswitch::balancer
