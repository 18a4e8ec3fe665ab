#ifndef BORAGEPIER_TESTING_UPSTREAM_ECHO_H
#define BORAGEPIER_TESTING_UPSTREAM_ECHO_H

#include <string>
#include <string_view>

#include "boragepier/http/message.h"

namespace boragepier::testing {

/// @return a JSON body that identifies the request: method, target, hash of the body, idempotency
/// key and the id of the upstream
std::string
MakeEcho(const http::Request& aRequest, std::string_view aUpstream);

/// @param aBody body of a response with status 200
/// @return whether MakeEcho() made the body for this request
bool
EchoMatches(const http::Request& aRequest, std::string_view aBody);

} // namespace boragepier::testing

#endif
