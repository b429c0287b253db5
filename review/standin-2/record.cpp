#include "record.h"

#include <chrono>

namespace samphireswitch::review {

Record::Record(const std::string &path)
    : m_stream(path)
    , m_startedAt(Clock::now())
{
}

void Record::write(const std::string &text)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt);
    m_stream << age.count() << " ms " << text << std::endl;
}

} // namespace samphireswitch::review
