#ifndef BORAGEPIER_TESTING_UPSTREAM_ECHO_H
#define BORAGEPIER_TESTING_UPSTREAM_ECHO_H

#include <string>
#include <string_view>

#include "boragepier/http/message.h"

namespace boragepier::testing {

/// @return the body by which the stand-in upstream identifies the request that it answers
std::string
MakeEcho(const http::Request& aRequest, std::string_view aUpstream);

/// @param aBody body of an answer with status 200
/// @return true if it was made for this request
bool
EchoMatches(const http::Request& aRequest, std::string_view aBody);

} // namespace boragepier::testing

#endif
