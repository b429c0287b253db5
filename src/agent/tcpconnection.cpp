#include "agent/tcpconnection.h"

#include "agent/connectionbuckets.h"
#include "agent/lwipheaders.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace samphireswitch::agent {

namespace {

/** Number of send queue buffers that one write may need in addition to those of its segments. */
constexpr std::size_t s_spareQueueLength = 4;

} // namespace

TcpConnection::TcpConnection(tcp_pcb *controlBlock,
                             ConnectionBuckets &buckets,
                             std::size_t bucket,
                             TcpConnectionObserver &observer)
    : m_controlBlock(controlBlock)
    , m_buckets(buckets)
    , m_bucket(bucket)
    , m_observer(observer)
{
}

TcpConnection::~TcpConnection()
{
    discard();
}

std::size_t TcpConnection::sendCapacity() const
{
    if (m_controlBlock == nullptr) {
        return 0;
    }
    if (m_controlBlock->state != ESTABLISHED && m_controlBlock->state != CLOSE_WAIT) {
        return 0;
    }
    const std::size_t queued = tcp_sndqueuelen(m_controlBlock) + s_spareQueueLength;
    if (queued >= TCP_SND_QUEUELEN) {
        return 0;
    }
    // With many small writes, the limit on the number of queued buffers is reached before the limit on bytes.
    const std::size_t byQueue = (TCP_SND_QUEUELEN - queued) / 2 * tcp_mss(m_controlBlock);
    return std::min<std::size_t>({tcp_sndbuf(m_controlBlock), byQueue, UINT16_MAX});
}

bool TcpConnection::send(std::span<const std::byte> bytes)
{
    if (m_controlBlock == nullptr) {
        return false;
    }
    return tcp_write(m_controlBlock, bytes.data(), static_cast<u16_t>(bytes.size()), TCP_WRITE_FLAG_COPY) == ERR_OK;
}

void TcpConnection::push()
{
    if (m_controlBlock == nullptr) {
        return;
    }
    const ConnectionBuckets::Scope scope(m_buckets, m_bucket);
    tcp_output(m_controlBlock);
}

void TcpConnection::consume(std::size_t size)
{
    if (m_controlBlock == nullptr) {
        return;
    }
    const ConnectionBuckets::Scope scope(m_buckets, m_bucket);
    while (size > 0) {
        const std::size_t part = std::min<std::size_t>(size, UINT16_MAX);
        tcp_recved(m_controlBlock, static_cast<u16_t>(part));
        size -= part;
    }
}

void TcpConnection::finish()
{
    if (m_controlBlock == nullptr) {
        return;
    }
    // Not tcp_close(), which sends a reset instead of a FIN if received bytes have not all been consumed.
    constexpr int receiving = 0;
    constexpr int sending = 1;
    tcp_shutdown(m_controlBlock, receiving, sending);
    push();
}

void TcpConnection::reset()
{
    abandon(true);
}

void TcpConnection::discard()
{
    abandon(false);
}

bool TcpConnection::exists() const
{
    return m_controlBlock != nullptr;
}

bool TcpConnection::hasUnacknowledgedData() const
{
    return m_controlBlock != nullptr && (m_controlBlock->unsent != nullptr || m_controlBlock->unacked != nullptr);
}

bool TcpConnection::isInTimeWait() const
{
    return m_controlBlock != nullptr && m_controlBlock->state == TIME_WAIT;
}

void TcpConnection::abandon(bool withReset)
{
    tcp_pcb *const controlBlock = std::exchange(m_controlBlock, nullptr);
    if (controlBlock == nullptr) {
        return;
    }
    tcp_err(controlBlock, nullptr);
    tcp_arg(controlBlock, nullptr);
    const ConnectionBuckets::Scope scope(m_buckets, m_bucket);
    tcp_abandon(controlBlock, withReset ? 1 : 0);
}

} // namespace samphireswitch::agent
