#pragma once

#include "base/resultcode.h"

#include <boost/json/object.hpp>

#include <string>

namespace samphireswitch::standin {

/** Appends JSON lines to a file. Each line is one write call, so that it survives SIGKILL of the process. */
class Journal
{
public:
    /** Opens @p path for appending; an empty path discards all lines. Fails with ResultCode::FileNotReadable. */
    static Result<Journal> open(const std::string &path);

    Journal(Journal &&other) noexcept;
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;
    Journal &operator=(Journal &&) = delete;
    ~Journal();

    /** Appends @p line with the wall-clock time in microseconds as `time_us`. */
    void append(boost::json::object line);

private:
    explicit Journal(int descriptor);

    int m_descriptor = -1;
};

} // namespace samphireswitch::standin
