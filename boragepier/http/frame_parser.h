#ifndef BORAGEPIER_HTTP_FRAME_PARSER_H
#define BORAGEPIER_HTTP_FRAME_PARSER_H

// Shared by the readers of this package; not for other packages.

#include <cctype>
#include <cstddef>
#include <cstdint>
#include <string_view>

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

// Beast takes an unknown transfer coding for "no body" in requests, and a coding before "chunked"
// as if it had been removed. Both would misread where the message ends.
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

// Beast looks for the end of a quoted chunk extension beyond the end of its line. An extension
// whose quote is not closed would make it wait for input, and count the chunk against the body
// limit again at each attempt. aRest: what is left of a chunked body when Beast asks for more.
inline bool
HasUnclosedChunkExtension(std::string_view aRest)
{
  if (aRest.starts_with("\r\n")) {
    aRest.remove_prefix(2); // end of the previous chunk
  }
  const std::size_t lineEnd = aRest.find("\r\n");
  if (lineEnd == std::string_view::npos) {
    return false;
  }
  const std::size_t afterZeros = aRest.find_first_not_of('0');
  const bool isLastChunk =
    afterZeros > 0 && std::isxdigit(static_cast<unsigned char>(aRest[afterZeros])) == 0;
  return !isLastChunk || aRest.find("\r\n\r\n", lineEnd) != std::string_view::npos;
}

// What one step of a parser brought.
enum class Step : std::uint8_t
{
  NeedMore,
  Progress,
  HeaderDone,
  Complete,
  HeaderTooLarge,
  BodyTooLarge,
  Malformed,
};

// Beast's parser with limits that hold over all pieces of a message.
template<bool isRequest>
class FrameParser
{
public:
  FrameParser(std::size_t aMaxHeader, std::size_t aMaxBody)
    : maxHeader_(aMaxHeader)
  {
    // Beast applies its header limit to the bytes of each call, so that a header that arrives in
    // pieces passes it. Advance() applies the limit to the sum.
    parser_.header_limit(static_cast<std::uint32_t>(aMaxHeader + 1));
    parser_.body_limit(aMaxBody);
  }

  Step Advance(InputBuffer& aInput)
  {
    if (aInput.Empty()) {
      return Step::NeedMore;
    }
    beast::error_code error;
    const std::string_view view = aInput.View();
    const std::size_t used = parser_.put({ view.data(), view.size() }, error);
    aInput.Consume(used);
    if (const Step step = Check(error, used, aInput.View()); step != Step::Progress) {
      return step;
    }
    if (!headerDone_ && parser_.is_header_done()) {
      headerDone_ = true;
      return Step::HeaderDone;
    }
    if (parser_.is_done()) {
      return Step::Complete;
    }
    return used > 0 ? Step::Progress : Step::NeedMore;
  }

  bool IsDone() const { return parser_.is_done(); }
  bool HeaderDone() const { return headerDone_; }
  bool Started() const { return headerBytes_ > 0; }
  auto& Beast() { return parser_; }

private:
  Step Check(beast::error_code aError, std::size_t aUsed, std::string_view aRest)
  {
    using beast::http::error;
    if (aError == error::header_limit) {
      return Step::HeaderTooLarge;
    }
    if (aError == error::body_limit) {
      return Step::BodyTooLarge;
    }
    if (aError && aError != error::need_more) {
      return Step::Malformed;
    }
    if (!headerDone_) {
      headerBytes_ += aUsed;
      if (headerBytes_ + (aError ? aRest.size() : 0) > maxHeader_) {
        return Step::HeaderTooLarge;
      }
    } else if (aError && (aRest.size() > maxHeader_ || HasUnclosedChunkExtension(aRest))) {
      // The rest is part of a chunk's header or of the trailer.
      return Step::Malformed;
    }
    return aError ? Step::NeedMore : Step::Progress;
  }

  const std::size_t maxHeader_;
  beast::http::parser<isRequest, beast::http::string_body> parser_;
  std::size_t headerBytes_ = 0;
  bool headerDone_ = false;
};

} // namespace boragepier::http

#endif
