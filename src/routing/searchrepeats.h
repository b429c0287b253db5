#pragma once

#include "base/time.h"
#include "flow/flowkey.h"
#include "routing/unacknowledgedsearches.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace samphireswitch::routing {

/** Schedule and size of SearchRepeats. */
struct SearchRepeatSettings
{
    /** Delay before the first repeat; the delay doubles before each further repeat. */
    std::chrono::milliseconds firstDelay {100};
    /**
     * Maximum number of repeats of a search; with the default delays, the last one is after 1.5 s. A restarting agent
     * is back within a second, and after 1.5 s the caller has retransmitted the packet itself.
     */
    std::uint8_t maximumRepeats = 4;
    /** Maximum number of waiting searches. A further search is not repeated until the caller retransmits its packet. */
    std::size_t capacity = 256;
};

/**
 * Queue of searches to repeat. A search is repeated for the agents that did not acknowledge it, if none of the other
 * agents owns the flow. A restarting agent is usually back before the caller's next retransmission, because the caller
 * doubles its retransmission interval each time.
 */
class SearchRepeats
{
public:
    using Search = UnacknowledgedSearches::Search;

    explicit SearchRepeats(const SearchRepeatSettings &settings = {});

    /**
     * Queues @p search, the only one for the flow @p key, for its next repeat. Returns false, and queues nothing, if
     * the search was repeated the maximum number of times, a search for the flow is queued already, or the queue is
     * full.
     */
    bool keep(const flow::FlowKey &key, Search search, TimePoint now);

    bool empty() const;

    /**
     * Removes and returns the searches whose delay has ended, with the number of repeats in their header incremented.
     */
    std::vector<Search> takeDue(TimePoint now);

private:
    struct Entry
    {
        TimePoint dueAt;
        Search search;
    };

    SearchRepeatSettings m_settings;
    std::map<flow::FlowKey, Entry> m_entries;
};

} // namespace samphireswitch::routing
