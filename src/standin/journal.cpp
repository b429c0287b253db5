#include "standin/journal.h"

#include "telemetry/logging.h"

#include <boost/json/serialize.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <utility>

namespace samphireswitch::standin {

namespace {

constexpr mode_t s_journalMode = 0644;

} // namespace

Result<Journal> Journal::open(const std::string &path)
{
    if (path.empty()) {
        return Journal(-1);
    }
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, s_journalMode);
    if (descriptor < 0) {
        return boost::leaf::new_error(Error {ResultCode::FileNotReadable, "cannot open the journal " + path});
    }
    return Journal(descriptor);
}

Journal::Journal(int descriptor)
    : m_descriptor(descriptor)
{
}

Journal::Journal(Journal &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

Journal::~Journal()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

void Journal::append(boost::json::object line)
{
    if (m_descriptor < 0) {
        return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    line["time_us"] = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    const std::string text = boost::json::serialize(line) + "\n";
    if (::write(m_descriptor, text.data(), text.size()) != static_cast<ssize_t>(text.size())) {
        telemetry::log(telemetry::Severity::Error, "the journal could not be written");
    }
}

} // namespace samphireswitch::standin
