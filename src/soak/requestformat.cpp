#include "soak/requestformat.h"

#include "base/hash.h"

#include <cstring>

namespace samphireswitch::soak {

namespace {

/** Bytes that depend on the request and on the position. */
std::string contentOf(std::uint64_t request, std::uint64_t purpose, std::size_t size)
{
    std::string content;
    content.reserve(size + sizeof(std::uint64_t));
    for (std::uint64_t word = 0; content.size() < size; ++word) {
        const std::uint64_t value = mixHash(mixHash(request, purpose), word);
        content.append(reinterpret_cast<const char *>(&value), sizeof(value));
    }
    content.resize(size);
    return content;
}

constexpr std::uint64_t s_requestContent = 1;
constexpr std::uint64_t s_answerContent = 2;

} // namespace

std::string encodeRequest(const RequestHead &head)
{
    std::string bytes(reinterpret_cast<const char *>(&head), sizeof(head));
    return bytes + contentOf(head.request, s_requestContent, head.bodySize);
}

std::string encodeAnswer(const RequestHead &head)
{
    std::string bytes(reinterpret_cast<const char *>(&head.request), sizeof(head.request));
    return bytes + contentOf(head.request, s_answerContent, head.answerSize);
}

std::optional<RequestHead> takeRequest(std::string &bytes, bool &isDamaged)
{
    RequestHead head;
    if (bytes.size() < sizeof(head)) {
        return std::nullopt;
    }
    std::memcpy(&head, bytes.data(), sizeof(head));
    if (bytes.size() < sizeof(head) + head.bodySize) {
        return std::nullopt;
    }
    isDamaged = bytes.substr(sizeof(head), head.bodySize) != contentOf(head.request, s_requestContent, head.bodySize);
    bytes.erase(0, sizeof(head) + head.bodySize);
    return head;
}

std::size_t answerSize(const RequestHead &head)
{
    return sizeof(head.request) + head.answerSize;
}

} // namespace samphireswitch::soak
