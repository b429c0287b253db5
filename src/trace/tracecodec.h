#pragma once

#include "base/resultcode.h"
#include "trace/traceline.h"

#include <string>
#include <string_view>

namespace samphireswitch::trace {

/** Version of the format that this program writes and reads. */
constexpr std::uint32_t s_traceVersion = 1;

/** One JSON line without the line end. Fields that have their default value are left out. */
std::string encode(const TraceHeader &header);
std::string encode(const TraceEntry &entry);
std::string encode(const admission::Action &action);

/** Read a line. Fail with ResultCode::TraceMalformed and a message that names what is wrong. */
Result<TraceHeader> decodeHeader(std::string_view line);
Result<TraceEntry> decodeEntry(std::string_view line);

} // namespace samphireswitch::trace
