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
    static constexpr std::size_t s_batchSize = 32;

    DatagramReceiver();

    /** Receives what is waiting on @p socket, at most s_batchSize datagrams. Returns their number. */
    std::size_t receive(int socket);

    /** Datagram @p index of the last batch; valid until the next receive(). */
    std::span<const std::byte> datagram(std::size_t index) const;

private:
    std::unique_ptr<std::uint64_t[]> m_buffer;
    std::array<iovec, s_batchSize> m_vectors {};
    std::array<mmsghdr, s_batchSize> m_headers {};
};

} // namespace samphireswitch::agent
