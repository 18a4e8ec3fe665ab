#include "boragepier/http/writer.h"

#include <utility>

#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

#include "boragepier/http/message_parser.h"

namespace boragepier::http {

namespace {

// A copy of a small body costs less than a second system call.
constexpr std::size_t kMaxCopiedBodyBytes = 16 << 10;

// Prevents header injection: a line break in a name or value would start a new field.
std::string
ReplaceLineBreaks(std::string_view aText)
{
  std::string result(aText);
  for (char& character : result) {
    if (character == '\r' || character == '\n' || character == '\0') {
      character = ' ';
    }
  }
  return result;
}

bool
IsFramingField(std::string_view aName)
{
  using beast::http::field;
  switch (beast::http::string_to_field(ToBeast(aName))) {
    case field::connection:
    case field::content_length:
    case field::transfer_encoding:
      return true;
    default:
      return false;
  }
}

template<typename Message>
void
SetFields(Message& aMessage, const Headers& aHeaders)
{
  for (const Headers::Field& field : aHeaders) {
    if (!IsFramingField(field.name_)) {
      aMessage.insert(ToBeast(ReplaceLineBreaks(field.name_)),
                      ToBeast(ReplaceLineBreaks(field.value_)));
    }
  }
}

template<bool isRequest>
std::string
SerializeHeader(beast::http::message<isRequest, beast::http::empty_body>& aMessage)
{
  std::string bytes;
  beast::http::serializer<isRequest, beast::http::empty_body> serializer(aMessage);
  serializer.split(true);
  beast::error_code error;
  while (!error && !serializer.is_header_done()) {
    serializer.next(error, [&](beast::error_code& /*aError*/, const auto& aBuffers) {
      const std::size_t size = beast::buffer_bytes(aBuffers);
      bytes.reserve(bytes.size() + size);
      for (const auto buffer : beast::buffers_range_ref(aBuffers)) {
        bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      serializer.consume(size);
    });
  }
  return bytes;
}

bool
StatusAllowsBody(int aStatus)
{
  return aStatus != 204 && aStatus != 304;
}

} // namespace

std::string
WriteRequestHeader(const Request& aRequest, std::string_view aHost)
{
  using beast::http::field;
  beast::http::request<beast::http::empty_body> message;
  message.method_string(ToBeast(ReplaceLineBreaks(aRequest.method_)));
  message.target(ToBeast(ReplaceLineBreaks(aRequest.target_)));
  message.version(11);
  SetFields(message, aRequest.headers_);
  if (message.count(field::host) == 0) {
    message.set(field::host, ToBeast(aHost));
  }
  const std::string_view method = aRequest.method_;
  if (!aRequest.body_.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
    message.set(field::content_length, std::to_string(aRequest.body_.size()));
  }
  return SerializeHeader(message);
}

std::string
WriteRequest(const Request& aRequest, std::string_view aHost)
{
  return WriteRequestHeader(aRequest, aHost).append(aRequest.body_.View());
}

std::string
WriteResponseHeader(const Response& aResponse, bool aRequestIsHead, ConnectionUse aConnectionUse)
{
  using beast::http::field;
  beast::http::response<beast::http::empty_body> message;
  message.result(static_cast<unsigned>(aResponse.status_));
  message.version(11);
  SetFields(message, aResponse.headers_);
  // A response to HEAD has the Content-Length of the omitted body, which is unknown if the handler
  // provided none.
  if (StatusAllowsBody(aResponse.status_) && !(aRequestIsHead && aResponse.body_.empty())) {
    message.set(field::content_length, std::to_string(aResponse.body_.size()));
  }
  if (aConnectionUse != ConnectionUse::KeepOpen) {
    message.set(field::connection, aConnectionUse == ConnectionUse::Close ? "close" : "keep-alive");
  }
  return SerializeHeader(message);
}

Body
WrittenBody(const Response& aResponse, bool aRequestIsHead)
{
  return StatusAllowsBody(aResponse.status_) && !aRequestIsHead ? aResponse.body_ : Body();
}

std::string
WriteResponse(const Response& aResponse, bool aRequestIsHead, ConnectionUse aConnectionUse)
{
  return WriteResponseHeader(aResponse, aRequestIsHead, aConnectionUse)
    .append(WrittenBody(aResponse, aRequestIsHead).View());
}

void
WriteMessage(net::TcpStream& aStream, std::string aHeader, const Body& aBody)
{
  if (aBody.size() <= kMaxCopiedBodyBytes) {
    aStream.Write(std::move(aHeader.append(aBody.View())));
    return;
  }
  aStream.Write(std::move(aHeader));
  aStream.WriteShared(aBody.View(), aBody.Owner());
}

} // namespace boragepier::http
