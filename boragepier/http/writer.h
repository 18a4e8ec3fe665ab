#ifndef BORAGEPIER_HTTP_WRITER_H
#define BORAGEPIER_HTTP_WRITER_H

#include <cstdint>
#include <string>
#include <string_view>

#include "boragepier/http/message.h"

namespace boragepier::http {

/// @param aHost value of the Host field if the request has none
/// @return the bytes of a request
std::string
WriteRequest(const Request& aRequest, std::string_view aHost);

/// How the connection continues after a response.
enum class ConnectionUse : std::uint8_t
{
  KeepOpen,
  KeepOpenHttp10, ///< told to the caller, as HTTP/1.0 closes by default
  Close,
};

/// @param aToHead true if the request was HEAD: the body is not sent
/// @return the bytes of a response
std::string
WriteResponse(const Response& aResponse, bool aToHead, ConnectionUse aUse);

} // namespace boragepier::http

#endif
