#pragma once

// Debian's lwIP headers include C headers of the system, which must not be seen first inside extern "C".
#include <cstdint>
#include <cstdlib>

extern "C" {
#include <lwip/init.h>
#include <lwip/ip4.h>
#include <lwip/netif.h>
#include <lwip/pbuf.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/tcp.h>
}
