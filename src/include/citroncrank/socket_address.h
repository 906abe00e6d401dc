#pragma once

/// @file
/// Conversion between host_address and sockaddr_in.

#include "citroncrank/ids.h"

#include <netinet/in.h>

namespace citroncrank {

inline sockaddr_in toSockaddr(const host_address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.ip);
    result.sin_port = htons(address.port);
    return result;
}

inline host_address fromSockaddr(const sockaddr_in &address)
{
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

} // namespace citroncrank
