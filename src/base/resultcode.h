#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <string_view>

namespace samphireswitch {

/**
 * Numbered results of every operation that can fail. The table in docs/result-codes.md lists the same numbers and
 * names; a test compares the two. A number that was released is never used for another meaning.
 */
enum class ResultCode {
    Ok = 0,
    UsageError = 2,
    InvalidAddress = 10,
    InvalidSettings = 11,
    InvalidDeclaration = 12,
    FileNotReadable = 13,
    MessageMalformed = 20,
    MessageTooLarge = 21,
    PacketMalformed = 22,
    StoreUnavailable = 30,
    StoreAnswerMalformed = 31,
    StoreConflict = 32,
    StoreCompacted = 33,
    StoreRejected = 34,
    PlanNotFound = 40,
    PlanOutdated = 41,
    PlanRefused = 42,
    GenerationOutdated = 43,
    GenerationGap = 44,
    ContentMismatch = 45,
    PeerUnavailable = 50,
    SocketError = 51,
    OutOfResources = 52,
    TraceMalformed = 60,
};

/** Name of the code as in the enumeration, for messages and logs. */
std::string_view resultCodeName(ResultCode code);

/** The error object that failing functions put into a Boost.LEAF result. */
struct Error
{
    ResultCode code = ResultCode::Ok;
    /** What was wrong and what would have been accepted, for a person. */
    std::string message;
};

template<typename T>
using Result = boost::leaf::result<T>;

} // namespace samphireswitch
