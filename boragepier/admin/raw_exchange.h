#ifndef BORAGEPIER_ADMIN_RAW_EXCHANGE_H
#define BORAGEPIER_ADMIN_RAW_EXCHANGE_H

#include <cstdint>
#include <string>

#include "boragepier/admin/admin_hooks.h"

namespace boragepier {

/// @return hooks that answer with empty data, for tests
AdminHooks
EmptyHooks();
/// Sends bytes to a server on the loopback address. The limit of 30 s only keeps a faulty server
/// from blocking the test.
/// @return all that comes back until the server closes the connection
std::string
RawExchange(std::uint16_t aPort, const std::string& aBytes);

} // namespace boragepier

#endif
