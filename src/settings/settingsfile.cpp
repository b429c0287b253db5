#include "settings/settingsfile.h"

#include "base/hash.h"
#include "configuration/inidocument.h"

#include <chrono>

namespace samphireswitch::settings {

namespace {

constexpr std::chrono::seconds s_checkInterval {1};

} // namespace

SettingsFile::SettingsFile(std::string path)
    : m_path(std::move(path))
    , m_hash(contentHash())
{
}

const std::string &SettingsFile::path() const
{
    return m_path;
}

bool SettingsFile::hasChanged()
{
    const TimePoint now = Clock::now();
    if (now < m_nextCheck) {
        return false;
    }
    m_nextCheck = now + s_checkInterval;
    const std::uint64_t hash = contentHash();
    const bool changed = hash != 0 && hash != m_hash;
    m_hash = hash == 0 ? m_hash : hash;
    return changed;
}

std::uint64_t SettingsFile::contentHash() const
{
    const auto text = configuration::readTextFile(m_path);
    return text ? hashText(*text) : 0;
}

} // namespace samphireswitch::settings
