#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace samphireswitch::standin {

/** Direction of relayed data, seen from the side that connects or sends first. */
enum class Direction { ToTarget, FromTarget };

/** One copy of a datagram that a relay sends on. */
struct PlannedCopy
{
    std::chrono::microseconds delay {0};
    /** The copy goes to another target than the first one, if there are several. */
    bool otherTarget = false;
};

/** The faults that a relay applies now, and the seeded decisions for each datagram. */
class FaultRules
{
public:
    explicit FaultRules(std::uint64_t seed);

    /**
     * Changes the faults: `drop P`, `duplicate P MS`, `reorder P MS`, `delay MS JITTER_MS`, `first-packets on|off`
     * (drop, duplicate and reorder concern only TCP packets with SYN and without ACK), `cut to|from|both`, `freeze`,
     * `resume`, `lose-answers N` (the next N TCP connections end when their answer arrives), `heal` (removes all).
     * P is a probability. Returns `ok` or an error.
     */
    std::string execute(const std::string &command);

    /** The copies of a datagram to send; none if it is lost. */
    std::vector<PlannedCopy> planDatagram(Direction direction, bool isFirstPacket);

    /** Delay of a piece of a TCP stream. */
    std::chrono::microseconds streamDelay();

    bool isCut(Direction direction) const;
    bool isFrozen() const;

    /** Takes one of the answers to lose; returns false if there is none. */
    bool takeLostAnswer();

private:
    struct Faults
    {
        double drop = 0;
        double duplicate = 0;
        std::chrono::microseconds duplicateDelay {0};
        double reorder = 0;
        std::chrono::microseconds reorderDelay {0};
        std::chrono::microseconds delay {0};
        std::chrono::microseconds jitter {0};
        bool firstPacketsOnly = false;
        bool cutTo = false;
        bool cutFrom = false;
        bool frozen = false;
        int lostAnswers = 0;
    };

    bool draw(double probability);
    std::chrono::microseconds drawDelay();

    std::mt19937_64 m_random;
    Faults m_faults;
};

} // namespace samphireswitch::standin
