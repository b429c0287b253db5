#include "passthrough/storedflows.h"

#include "base/hash.h"

#include <algorithm>
#include <span>

namespace samphireswitch::passthrough {

namespace {

constexpr std::uint8_t s_version = 1;
constexpr std::size_t s_runBytes = 8;
constexpr std::size_t s_headBytes = 1 + s_runBytes;
constexpr std::size_t s_addressBytes = 4;
constexpr std::size_t s_portBytes = 2;
constexpr std::size_t s_sequenceBytes = 4;
constexpr std::size_t s_flowBytes = 2 * (s_addressBytes + s_portBytes) + s_sequenceBytes;
constexpr unsigned s_bitsPerByte = 8;

/** Appends the lowest @p bytes bytes of @p number, the highest of them first. */
void append(std::string &value, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t left = bytes; left > 0; --left) {
        value += static_cast<char>(number >> ((left - 1) * s_bitsPerByte));
    }
}

/** Removes the first @p bytes bytes of @p value and returns their number. */
std::uint64_t take(std::string_view &value, std::size_t bytes)
{
    std::uint64_t number = 0;
    for (const char byte : value.substr(0, bytes)) {
        number = (number << s_bitsPerByte) | static_cast<unsigned char>(byte);
    }
    value.remove_prefix(bytes);
    return number;
}

void append(std::string &value, const Endpoint &endpoint)
{
    append(value, endpoint.address, s_addressBytes);
    append(value, endpoint.port, s_portBytes);
}

Endpoint takeEndpoint(std::string_view &value)
{
    const auto address = static_cast<std::uint32_t>(take(value, s_addressBytes));
    return {address, static_cast<std::uint16_t>(take(value, s_portBytes))};
}

std::uint64_t pack(const Endpoint &endpoint)
{
    return (std::uint64_t {endpoint.address} << 16U) | endpoint.port;
}

} // namespace

std::uint64_t flowHash(const protocol::LocatedFlow &located)
{
    const std::uint64_t key = mixHash(pack(located.key.source), pack(located.key.destination));
    return mixHash(key, located.sequenceNumber);
}

std::uint64_t contentHash(const StoredFlows &stored)
{
    std::uint64_t sum = 0;
    for (const protocol::LocatedFlow &located : stored.flows) {
        sum += flowHash(located);
    }
    const auto run = static_cast<std::uint64_t>(stored.runStartedSinceEpoch.count());
    return stored.flows.empty() ? 0 : mixHash(sum, run);
}

std::string encodeStoredFlows(const StoredFlows &stored)
{
    const std::size_t count = std::min(stored.flows.size(), s_mostStoredFlows);
    std::string value;
    value.reserve(s_headBytes + count * s_flowBytes);
    append(value, s_version, 1);
    append(value, static_cast<std::uint64_t>(stored.runStartedSinceEpoch.count()), s_runBytes);
    for (const protocol::LocatedFlow &located : std::span(stored.flows).first(count)) {
        append(value, located.key.source);
        append(value, located.key.destination);
        append(value, located.sequenceNumber, s_sequenceBytes);
    }
    return value;
}

Result<StoredFlows> decodeStoredFlows(std::string_view value)
{
    const bool hasHead = value.size() >= s_headBytes && static_cast<std::uint8_t>(value.front()) == s_version;
    const std::size_t flowBytes = hasHead ? value.size() - s_headBytes : 0;
    if (!hasHead || flowBytes % s_flowBytes != 0 || flowBytes / s_flowBytes > s_mostStoredFlows) {
        return boost::leaf::new_error(
            Error {ResultCode::MessageMalformed,
                   "stored flows have an unknown version or " + std::to_string(value.size()) + " bytes"});
    }
    take(value, 1);
    StoredFlows stored;
    stored.runStartedSinceEpoch = std::chrono::milliseconds(static_cast<std::int64_t>(take(value, s_runBytes)));
    while (!value.empty()) {
        const Endpoint source = takeEndpoint(value);
        const Endpoint destination = takeEndpoint(value);
        stored.flows.push_back({{source, destination}, static_cast<std::uint32_t>(take(value, s_sequenceBytes))});
    }
    return stored;
}

} // namespace samphireswitch::passthrough
