#pragma once

#include "base/endpoint.h"
#include "base/resultcode.h"

#include <chrono>

namespace samphireswitch::balancer {

/**
 * Opens a UDP socket whose send and receive calls time out after @p wait, so that the calling thread can check for
 * requests. Fails with ResultCode::SocketError.
 */
Result<int> openPacketSocket(const Endpoint &endpoint, std::chrono::microseconds wait);

} // namespace samphireswitch::balancer
