#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphireswitch::soak {

/** A request as it stands at the beginning of its bytes in a flow. */
struct RequestHead
{
    /** Unique in a run of the soak. */
    std::uint64_t request = 0;
    std::uint32_t bodySize = 0;
    std::uint32_t answerSize = 0;
    /** Time for which it takes a slot. */
    std::uint32_t workMilliseconds = 0;
};

/** A request with its body. */
std::string encodeRequest(const RequestHead &head);

/** The answer of one request: its identity and content that belongs to no other request. */
std::string encodeAnswer(const RequestHead &head);

/** Takes a whole request from the front of @p bytes; nothing if it is not complete. */
std::optional<RequestHead> takeRequest(std::string &bytes, bool &isDamaged);

/** Size of the answer of a request. */
std::size_t answerSize(const RequestHead &head);

} // namespace samphireswitch::soak
