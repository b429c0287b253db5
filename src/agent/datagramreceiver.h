#pragma once

#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

namespace samphireswitch::agent {

/** Receives datagrams in batches from a socket that it does not own. */
class DatagramReceiver
{
public:
    /** The largest number of datagrams in a batch. */
    static constexpr std::size_t s_batchSize = 32;

    DatagramReceiver();

    /**
     * Receives the datagrams that are queued on @p socket, at most s_batchSize, without blocking. Returns the number of
     * datagrams; 0 if none is queued or the socket reports an error.
     */
    std::size_t receive(int socket);

    /** Returns datagram @p index of the last batch. The bytes are valid until the next call of receive(). */
    std::span<const std::byte> datagram(std::size_t index) const;

private:
    std::unique_ptr<std::uint64_t[]> m_buffer;
    std::array<iovec, s_batchSize> m_vectors {};
    std::array<mmsghdr, s_batchSize> m_headers {};
};

} // namespace samphireswitch::agent
