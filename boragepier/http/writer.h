#ifndef BORAGEPIER_HTTP_WRITER_H
#define BORAGEPIER_HTTP_WRITER_H

#include <cstdint>
#include <string>
#include <string_view>

#include "boragepier/http/message.h"
#include "boragepier/net/tcp_stream.h"

namespace boragepier::http {

/// @param aHost value of the Host field if the request has none
/// @return the serialized request without its body, which follows it on the wire
std::string
WriteRequestHeader(const Request& aRequest, std::string_view aHost);

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
/// @return the serialized response without its body
std::string
WriteResponseHeader(const Response& aResponse, bool aRequestIsHead, ConnectionUse aConnectionUse);

/// @return the body that follows the header of a response on the wire
Body
WrittenBody(const Response& aResponse, bool aRequestIsHead);

/// @param aRequestIsHead true if the request method was HEAD: the body is not sent
/// @return the serialized response
std::string
WriteResponse(const Response& aResponse, bool aRequestIsHead, ConnectionUse aConnectionUse);

/// Writes a header and a body to a stream. A large body is shared with the stream, not copied.
void
WriteMessage(net::TcpStream& aStream, std::string aHeader, const Body& aBody);

} // namespace boragepier::http

#endif
