#pragma once

#include "base/endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace samphireswitch {

/** The form of @p endpoint that the system's socket functions take. */
inline sockaddr_in toSocketAddress(const Endpoint &endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

} // namespace samphireswitch
