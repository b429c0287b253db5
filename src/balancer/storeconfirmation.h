#pragma once

#include "base/identifiers.h"
#include "base/time.h"

#include <cstdint>

namespace samphireswitch::balancer {

/** A read of the store that found no newer configuration than this one. */
struct StoreConfirmation
{
    Generation generation = 0;
    /** configuration::ConfigurationTable::contentHash(); 0 if a generation has one content only. */
    std::uint64_t contentHash = 0;
    /** When the read began; the epoch of the clock if no read has succeeded. */
    TimePoint at;

    /** Whether the configuration @p other with the content @p otherHash is the one that was found, or a newer one. */
    bool confirms(Generation other, std::uint64_t otherHash) const
    {
        return other > generation || (other == generation && (contentHash == 0 || otherHash == contentHash));
    }
};

/** A confirmation of the configuration, and until when it counts. */
struct TimedConfirmation
{
    StoreConfirmation confirmation;
    TimePoint end;

    /** As StoreConfirmation::confirms(), at the time @p now. */
    bool confirms(Generation other, std::uint64_t otherHash, TimePoint now) const
    {
        return now < end && confirmation.confirms(other, otherHash);
    }
};

} // namespace samphireswitch::balancer
