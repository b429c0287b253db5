#include "passthrough/priorityturns.h"

#include <algorithm>

namespace samphireswitch::passthrough {

QueueTurn PriorityTurns::next(std::span<const std::uint8_t> waiting)
{
    const std::uint8_t priority = choose(waiting);
    Record &record = m_records[priority];
    ++record.turns;
    record.latest = ++m_turns;
    return {priority, record.turns % s_turnsPerLateTurn == 0};
}

std::uint8_t PriorityTurns::choose(std::span<const std::uint8_t> waiting)
{
    if (waiting.size() == 1 || ++m_contendedTurns % s_turnsPerSharedTurn != 0) {
        return waiting.front();
    }
    const auto latestTurn = [this](std::uint8_t priority) { return m_records[priority].latest; };
    return *std::ranges::min_element(waiting.subspan(1), {}, latestTurn);
}

} // namespace samphireswitch::passthrough
