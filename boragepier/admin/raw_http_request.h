#ifndef BORAGEPIER_ADMIN_RAW_HTTP_REQUEST_H
#define BORAGEPIER_ADMIN_RAW_HTTP_REQUEST_H

#include <cstdint>
#include <string>

#include "boragepier/admin/admin_hooks.h"

namespace boragepier {

/// @return hooks for tests: the status, the metrics and the explain records are empty, and each
/// announcement is accepted
AdminHooks
StubHooks();
/// Sends bytes unchanged, also malformed requests, to a server on the loopback address. The test
/// fails if it cannot connect or send. A receive timeout of 30 s keeps a faulty server from
/// blocking the test.
/// @return the bytes received until the server closes the connection
std::string
SendRawRequest(std::uint16_t aPort, const std::string& aBytes);

} // namespace boragepier

#endif
