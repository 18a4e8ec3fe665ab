#ifndef BORAGEPIER_HTTP_MESSAGE_PARSER_H
#define BORAGEPIER_HTTP_MESSAGE_PARSER_H

// Internal to this package: shared by RequestReader and ResponseReader.

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <new>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "boragepier/http/input_buffer.h"
#include "boragepier/http/message.h"

namespace boragepier::http {

namespace beast = boost::beast;

inline beast::string_view
ToBeast(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

inline std::string_view
FromBeast(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

template<typename Fields>
Headers
CopyHeaders(const Fields& aFields)
{
  Headers headers;
  for (const auto& field : aFields) {
    headers.Add(FromBeast(field.name_string()), FromBeast(field.value()));
  }
  return headers;
}

// Beast treats a request with an unknown transfer coding as having no body, and ignores a coding
// listed before "chunked". In both cases it would find the wrong end of the message.
template<typename Parser>
bool
TransferCodingIsSupported(const Parser& aParser)
{
  const auto& fields = aParser.get();
  const auto count = fields.count(beast::http::field::transfer_encoding);
  if (count == 0) {
    return true;
  }
  return count == 1 && fields.version() == 11 &&
         beast::iequals(fields[beast::http::field::transfer_encoding], "chunked") &&
         fields.count(beast::http::field::content_length) == 0;
}

// Beast searches for the closing quote of a chunk extension beyond the end of its line. With an
// unclosed quote it would wait for more input, and count the chunk against the body limit again on
// each call. aUnread holds the unread bytes of a chunked body when Beast asks for more.
inline bool
HasUnclosedChunkExtension(std::string_view aUnread)
{
  if (aUnread.starts_with("\r\n")) {
    aUnread.remove_prefix(2); // end of the previous chunk
  }
  const std::size_t lineEnd = aUnread.find("\r\n");
  if (lineEnd == std::string_view::npos) {
    return false;
  }
  const std::size_t firstNonZero = aUnread.find_first_not_of('0');
  const bool isLastChunk =
    firstNonZero > 0 && std::isxdigit(static_cast<unsigned char>(aUnread[firstNonZero])) == 0;
  return !isLastChunk || aUnread.find("\r\n\r\n", lineEnd) != std::string_view::npos;
}

// Result of one call of MessageParser::Advance().
enum class ParseStatus : std::uint8_t
{
  NeedMore,   // waits for more input
  Progress,   // bytes were consumed; call again
  HeaderDone, // returned once per message
  Complete,
  HeaderTooLarge,
  BodyTooLarge,
  Malformed,
};

// Boost.Beast's parser with size limits that apply to the whole message, however it is split into
// pieces.
template<bool isRequest>
class MessageParser
{
public:
  MessageParser(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes)
    : maxHeaderBytes_(aMaxHeaderBytes)
  {
    // Beast applies its header limit to each call separately, so a header that arrives in pieces
    // could exceed it. Advance() applies the limit to the total.
    constexpr std::size_t kMaxHeaderLimit = std::numeric_limits<std::uint32_t>::max() - 1;
    parser_.header_limit(
      static_cast<std::uint32_t>(std::min(aMaxHeaderBytes, kMaxHeaderLimit) + 1));
    parser_.body_limit(aMaxBodyBytes);
  }

  // Parses some of the unread bytes and consumes them.
  ParseStatus Advance(InputBuffer& aInput)
  {
    if (aInput.Empty()) {
      return ParseStatus::NeedMore;
    }
    beast::error_code error;
    const std::string_view unread = aInput.View();
    std::size_t consumed = 0;
    try {
      consumed = parser_.put({ unread.data(), unread.size() }, error);
    } catch (const std::length_error&) {
      return ParseStatus::HeaderTooLarge; // Beast holds fields of less than 64 KiB only
    } catch (const std::bad_alloc&) {
      return ParseStatus::BodyTooLarge;
    }
    aInput.Consume(consumed);
    if (const ParseStatus status = Classify(error, consumed, aInput.View());
        status != ParseStatus::Progress) {
      return status;
    }
    if (!headerDone_ && parser_.is_header_done()) {
      headerDone_ = true;
      return ParseStatus::HeaderDone;
    }
    if (parser_.is_done()) {
      return ParseStatus::Complete;
    }
    return consumed > 0 ? ParseStatus::Progress : ParseStatus::NeedMore;
  }

  // Has the body paid for by aCharge: its length if that is known, and otherwise twice the bytes
  // received, because the buffer grows by copying. Call before Advance() and after the last one.
  // Returns false if the body does not fit.
  bool Charge(BodyCharge& aCharge)
  {
    return !headerDone_ || aCharge.TryResize(std::max(RequiredBytes(), aCharge.Bytes()));
  }
  // Returns the bytes that Charge() asks for.
  std::size_t RequiredBytes() const
  {
    const auto length = parser_.content_length();
    return length ? static_cast<std::size_t>(*length) : 2 * parser_.get().body().size();
  }
  // Moves the complete body out of the parser.
  Body TakeBody(BodyCharge aCharge)
  {
    std::string body = std::move(parser_.get().body());
    aCharge.Resize(body.empty() ? 0 : std::max(body.size(), body.capacity()));
    return { std::move(body), std::move(aCharge) };
  }

  bool IsDone() const { return parser_.is_done(); }
  bool HeaderDone() const { return headerDone_; }
  // Returns true if at least one byte of the header was consumed.
  bool Started() const { return consumedHeaderBytes_ > 0; }
  auto& BeastParser() { return parser_; }

private:
  // Maps the error of one call of the parser, and the size limits, to a status.
  ParseStatus Classify(beast::error_code aError, std::size_t aConsumed, std::string_view aUnread)
  {
    using beast::http::error;
    if (aError == error::header_limit) {
      return ParseStatus::HeaderTooLarge;
    }
    if (aError == error::body_limit) {
      return ParseStatus::BodyTooLarge;
    }
    if (aError && aError != error::need_more) {
      return ParseStatus::Malformed;
    }
    if (!headerDone_) {
      consumedHeaderBytes_ += aConsumed;
      if (consumedHeaderBytes_ + (aError ? aUnread.size() : 0) > maxHeaderBytes_) {
        return ParseStatus::HeaderTooLarge;
      }
    } else if (aError && (aUnread.size() > maxHeaderBytes_ || HasUnclosedChunkExtension(aUnread))) {
      // The unread bytes are part of a chunk header or of the trailer.
      return ParseStatus::Malformed;
    }
    return aError ? ParseStatus::NeedMore : ParseStatus::Progress;
  }

  const std::size_t maxHeaderBytes_;
  beast::http::parser<isRequest, beast::http::string_body> parser_;
  std::size_t consumedHeaderBytes_ = 0;
  bool headerDone_ = false;
};

} // namespace boragepier::http

#endif
