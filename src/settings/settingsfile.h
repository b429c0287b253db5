#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>

namespace samphireswitch::settings {

/** Tells when a settings file has other contents than before. Reads the file at most once a second. */
class SettingsFile
{
public:
    explicit SettingsFile(std::string path);

    const std::string &path() const;

    /** Whether the contents differ from those at the last call or, the first time, at the construction. */
    bool hasChanged();

private:
    /** Hash of the contents; 0 if the file cannot be read. */
    std::uint64_t contentHash() const;

    std::string m_path;
    std::uint64_t m_hash;
    TimePoint m_nextCheck;
};

} // namespace samphireswitch::settings
