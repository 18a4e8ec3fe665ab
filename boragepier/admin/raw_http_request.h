#ifndef BORAGEPIER_ADMIN_RAW_HTTP_REQUEST_H
#define BORAGEPIER_ADMIN_RAW_HTTP_REQUEST_H

#include <cstdint>
#include <string>

#include "boragepier/admin/admin_hooks.h"

namespace boragepier {

/// @return hooks for tests: empty status, metrics and records; announcements are accepted
AdminHooks
StubHooks();
/// Sends bytes to a server on the loopback address, unchecked and unchanged. A receive timeout of
/// 30 s keeps a faulty server from blocking the test.
/// @return the bytes received until the server closes the connection
std::string
SendRawRequest(std::uint16_t aPort, const std::string& aBytes);

} // namespace boragepier

#endif
