#include "standin/faultrules.h"

#include <sstream>

namespace samphireswitch::standin {

namespace {

std::chrono::microseconds fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace

FaultRules::FaultRules(std::uint64_t seed)
    : m_random(seed)
{
}

std::string FaultRules::execute(const std::string &command)
{
    std::istringstream stream(command);
    std::string word;
    stream >> word;
    if (word == "heal") {
        m_faults = {};
        return "ok";
    }
    if (word == "freeze" || word == "resume") {
        m_faults.frozen = word == "freeze";
        return "ok";
    }
    if (word == "cut" || word == "first-packets") {
        std::string value;
        stream >> value;
        if (word == "cut") {
            m_faults.cutTo = value == "to" || value == "both";
            m_faults.cutFrom = value == "from" || value == "both";
            return m_faults.cutTo || m_faults.cutFrom ? "ok" : "error: accepted form is 'cut to|from|both'";
        }
        m_faults.firstPacketsOnly = value == "on";
        return "ok";
    }
    double first = 0;
    double second = 0;
    stream >> first;
    if (!stream) {
        return "error: '" + command + "' is not a command with its value";
    }
    stream >> second;
    if (word == "drop") {
        m_faults.drop = first;
    } else if (word == "duplicate") {
        m_faults.duplicate = first;
        m_faults.duplicateDelay = fromMilliseconds(second);
    } else if (word == "reorder") {
        m_faults.reorder = first;
        m_faults.reorderDelay = fromMilliseconds(second);
    } else if (word == "delay") {
        m_faults.delay = fromMilliseconds(first);
        m_faults.jitter = fromMilliseconds(second);
    } else if (word == "lose-answers") {
        m_faults.lostAnswers = static_cast<int>(first);
    } else {
        return "error: '" + word + "' is not a command";
    }
    return "ok";
}

std::vector<PlannedCopy> FaultRules::planDatagram(Direction direction, bool isFirstPacket)
{
    if (isCut(direction)) {
        return {};
    }
    const std::chrono::microseconds delay = drawDelay();
    if (m_faults.firstPacketsOnly && !isFirstPacket) {
        return {{delay, false}};
    }
    std::vector<PlannedCopy> copies;
    if (!draw(m_faults.drop)) {
        copies.push_back({draw(m_faults.reorder) ? delay + m_faults.reorderDelay : delay, false});
    }
    if (draw(m_faults.duplicate)) {
        copies.push_back({delay + m_faults.duplicateDelay, true});
    }
    return copies;
}

std::chrono::microseconds FaultRules::streamDelay()
{
    return drawDelay();
}

bool FaultRules::isCut(Direction direction) const
{
    return direction == Direction::ToTarget ? m_faults.cutTo : m_faults.cutFrom;
}

bool FaultRules::isFrozen() const
{
    return m_faults.frozen;
}

bool FaultRules::takeLostAnswer()
{
    if (m_faults.lostAnswers == 0) {
        return false;
    }
    --m_faults.lostAnswers;
    return true;
}

bool FaultRules::draw(double probability)
{
    return probability > 0 && std::bernoulli_distribution(probability)(m_random);
}

std::chrono::microseconds FaultRules::drawDelay()
{
    if (m_faults.jitter == std::chrono::microseconds::zero()) {
        return m_faults.delay;
    }
    std::uniform_int_distribution<std::int64_t> jitter(0, m_faults.jitter.count());
    return m_faults.delay + std::chrono::microseconds(jitter(m_random));
}

} // namespace samphireswitch::standin
