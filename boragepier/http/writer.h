#ifndef BORAGEPIER_HTTP_WRITER_H
#define BORAGEPIER_HTTP_WRITER_H

#include <cstdint>
#include <string>
#include <string_view>

#include "boragepier/http/message.h"

namespace boragepier::http {

/// @param aHost value of the Host field if the request has none
/// @return the serialized request
std::string
WriteRequest(const Request& aRequest, std::string_view aHost);

/// Whether the connection stays open after a response.
enum class ConnectionUse : std::uint8_t
{
  KeepOpen,
  KeepOpenHttp10, ///< sends "Connection: keep-alive", because HTTP/1.0 closes by default
  Close,
};

/// @param aRequestIsHead true if the request method was HEAD: the body is not sent
/// @return the serialized response
std::string
WriteResponse(const Response& aResponse, bool aRequestIsHead, ConnectionUse aConnectionUse);

} // namespace boragepier::http

#endif
