#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"

#include <cstdint>
#include <optional>

namespace samphireswitch {

/**
 * Opens a UDP socket, bound to @p local if that is given, with buffers of @p bufferBytes in both directions or what the
 * system grants of them. The caller closes it. Fails with ResultCode::SocketError.
 */
Result<int> openDatagramSocket(const std::optional<Endpoint> &local, int bufferBytes);

/**
 * Forgets an error that the system keeps for the next call on @p descriptor, as the refusal of an earlier packet.
 * Returns its code, or 0.
 */
int takePendingError(int descriptor);

/**
 * Number of datagrams that the system discarded since @p descriptor was opened because its receive buffer was full; 0
 * where the system does not tell.
 */
std::uint64_t droppedDatagrams(int descriptor);

/** A failure of a system call, with the text of the system's error @p code. */
Error socketError(const std::string &action, int code);

} // namespace samphireswitch
