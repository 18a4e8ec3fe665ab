#include "boragepier/http/framing.h"

#include <algorithm>
#include <utility>

#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

namespace boragepier::http {

namespace {

namespace beast = boost::beast;

// Longest header of an answer and longest chunk header or trailer, in bytes.
constexpr std::size_t kMaxResponseHeader = 64 << 10;

// A peer that sends interim answers without end is refused.
constexpr int kMaxInterim = 16;

beast::string_view
ToBeast(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::string_view
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

// RFC 9112 section 3.2 demands exactly one Host field of an HTTP/1.1 request.
template<typename Fields>
bool
HostIsValid(const Fields& aFields)
{
  const auto count = aFields.count(beast::http::field::host);
  return count == 1 || (count == 0 && aFields.version() == 10);
}

// Reduces "http://host/path" to "/path". Returns an empty string for other forms that this server
// does not serve.
std::string
OriginForm(std::string_view aTarget)
{
  if (aTarget.starts_with('/') || aTarget == "*") {
    return std::string(aTarget);
  }
  const std::size_t scheme = aTarget.find("://");
  if (scheme == std::string_view::npos || !beast::iequals(ToBeast(aTarget.substr(0, 4)), "http")) {
    return {};
  }
  const std::size_t path = aTarget.find_first_of("/?", scheme + 3);
  if (path == std::string_view::npos) {
    return "/";
  }
  return (aTarget[path] == '?' ? "/" : "") + std::string(aTarget.substr(path));
}

// A line break inside a value would let it add fields of its own to the message.
std::string
OneLine(std::string_view aText)
{
  std::string line(aText);
  for (char& character : line) {
    if (character == '\r' || character == '\n' || character == '\0') {
      character = ' ';
    }
  }
  return line;
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
      aMessage.insert(ToBeast(OneLine(field.name_)), ToBeast(OneLine(field.value_)));
    }
  }
}

template<bool isRequest>
std::string
SerializeHeader(beast::http::message<isRequest, beast::http::empty_body>& aMessage,
                std::size_t aBodySize)
{
  std::string bytes;
  beast::http::serializer<isRequest, beast::http::empty_body> serializer(aMessage);
  serializer.split(true);
  beast::error_code error;
  while (!error && !serializer.is_header_done()) {
    serializer.next(error, [&](beast::error_code& /*aError*/, const auto& aBuffers) {
      const std::size_t size = beast::buffer_bytes(aBuffers);
      bytes.reserve(bytes.size() + size + aBodySize);
      for (const auto buffer : beast::buffers_range_ref(aBuffers)) {
        bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      serializer.consume(size);
    });
  }
  return bytes;
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
    if (const Step step = Check(error, used, aInput.Size()); step != Step::Progress) {
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

  // The fields of the header, without those of a chunked body's trailer.
  bool IsDone() const { return parser_.is_done(); }
  bool HeaderDone() const { return headerDone_; }
  bool Started() const { return headerBytes_ > 0; }
  auto& Beast() { return parser_; }

private:
  Step Check(beast::error_code aError, std::size_t aUsed, std::size_t aLeft)
  {
    using beast::http::error;
    if (!headerDone_) {
      headerBytes_ += aUsed;
      const bool complete = !aError && parser_.is_header_done();
      if (headerBytes_ + (complete ? 0 : aLeft) > maxHeader_ && aError != error::body_limit) {
        return Step::HeaderTooLarge;
      }
    }
    if (aError == error::need_more) {
      // What is left is part of a chunk's header or of the trailer.
      return aLeft > maxHeader_ ? Step::Malformed : Step::NeedMore;
    }
    if (aError == error::header_limit) {
      return Step::HeaderTooLarge;
    }
    if (aError == error::body_limit) {
      return Step::BodyTooLarge;
    }
    return aError ? Step::Malformed : Step::Progress;
  }

  const std::size_t maxHeader_;
  beast::http::parser<isRequest, beast::http::string_body> parser_;
  std::size_t headerBytes_ = 0;
  bool headerDone_ = false;
};

} // namespace

void
InputBuffer::Append(std::string_view aBytes)
{
  if (offset_ > 0) {
    bytes_.erase(0, offset_);
    offset_ = 0;
  }
  bytes_.append(aBytes);
}

void
InputBuffer::Consume(std::size_t aCount)
{
  offset_ += aCount;
  if (offset_ == bytes_.size()) {
    bytes_.clear();
    offset_ = 0;
  }
}

class RequestReader::Parser : public FrameParser<true>
{
public:
  using FrameParser::FrameParser;
};

RequestReader::RequestReader(std::size_t aMaxHeader, std::size_t aMaxBody)
  : maxHeader_(aMaxHeader)
  , maxBody_(aMaxBody)
{
  Reset();
}

RequestReader::~RequestReader() = default;

void
RequestReader::Reset()
{
  parser_ = std::make_unique<Parser>(maxHeader_, maxBody_);
  expectContinue_ = false;
}

ReadStatus
RequestReader::Fail(RefusalReason aReason)
{
  failure_ = aReason;
  return ReadStatus::Failed;
}

bool
RequestReader::Started(const InputBuffer& aInput) const
{
  return parser_->Started() || !aInput.Empty();
}

bool
RequestReader::TakeExpectContinue()
{
  return std::exchange(expectContinue_, false);
}

ReadStatus
RequestReader::Read(InputBuffer& aInput)
{
  // RFC 9112 section 2.2: empty lines before a request are ignored.
  while (!parser_->Started() && aInput.View().starts_with("\r\n")) {
    aInput.Consume(2);
  }
  for (;;) {
    switch (parser_->Advance(aInput)) {
      case Step::NeedMore:
        return ReadStatus::NeedMore;
      case Step::Progress:
        break;
      case Step::HeaderDone:
        if (!AcceptHeader()) {
          return Fail(RefusalReason::MalformedRequest);
        }
        if (parser_->IsDone()) {
          return ReadStatus::Complete;
        }
        break;
      case Step::Complete:
        return ReadStatus::Complete;
      case Step::HeaderTooLarge:
        return Fail(RefusalReason::HeaderTooLarge);
      case Step::BodyTooLarge:
        return Fail(RefusalReason::BodyTooLarge);
      case Step::Malformed:
        return Fail(RefusalReason::MalformedRequest);
    }
  }
}

// Copies the header before the body is read, so that the fields of a trailer are not mixed in.
bool
RequestReader::AcceptHeader()
{
  const auto& message = parser_->Beast().get();
  request_.target_ = OriginForm(FromBeast(message.target()));
  if (request_.target_.empty() || !HostIsValid(message) ||
      !TransferCodingIsSupported(parser_->Beast())) {
    return false;
  }
  request_.method_ = FromBeast(message.method_string());
  request_.headers_ = CopyHeaders(message);
  RemoveHopByHop(request_.headers_);
  http10_ = message.version() == 10;
  keepAlive_ = parser_->Beast().keep_alive();
  if (const auto expect = request_.headers_.Get("Expect")) {
    expectContinue_ =
      !http10_ && !parser_->IsDone() && beast::iequals(ToBeast(*expect), "100-continue");
    request_.headers_.Remove("Expect");
  }
  return true;
}

Request
RequestReader::Take()
{
  request_.body_ = std::move(parser_->Beast().get().body());
  Reset();
  return std::exchange(request_, {});
}

class ResponseReader::Parser : public FrameParser<false>
{
public:
  using FrameParser::FrameParser;
};

ResponseReader::ResponseReader(bool aToHead, std::size_t aMaxBody)
  : toHead_(aToHead)
  , maxBody_(aMaxBody)
{
  Reset();
}

ResponseReader::~ResponseReader() = default;

void
ResponseReader::Reset()
{
  parser_ = std::make_unique<Parser>(kMaxResponseHeader, maxBody_);
  parser_->Beast().skip(toHead_);
}

ReadStatus
ResponseReader::Fail(AttemptFailure aFailure)
{
  failure_ = aFailure;
  return ReadStatus::Failed;
}

ReadStatus
ResponseReader::Read(InputBuffer& aInput)
{
  for (;;) {
    switch (parser_->Advance(aInput)) {
      case Step::NeedMore:
        return ReadStatus::NeedMore;
      case Step::Progress:
        break;
      case Step::HeaderDone:
        if (parser_->Beast().get().result_int() / 100 == 1) {
          if (parser_->Beast().get().result_int() == 101 || ++interimCount_ > kMaxInterim) {
            return Fail(AttemptFailure::MalformedResponse);
          }
          Reset();
          break;
        }
        if (!AcceptHeader()) {
          return Fail(AttemptFailure::MalformedResponse);
        }
        if (parser_->IsDone()) {
          return Complete();
        }
        break;
      case Step::Complete:
        return Complete();
      case Step::HeaderTooLarge:
      case Step::BodyTooLarge:
        return Fail(AttemptFailure::ResponseTooLarge);
      case Step::Malformed:
        return Fail(AttemptFailure::MalformedResponse);
    }
  }
}

bool
ResponseReader::AcceptHeader()
{
  const auto& message = parser_->Beast().get();
  if (!TransferCodingIsSupported(parser_->Beast())) {
    return false;
  }
  response_.status_ = static_cast<int>(message.result_int());
  response_.headers_ = CopyHeaders(message);
  RemoveHopByHop(response_.headers_);
  return response_.status_ >= 200;
}

ReadStatus
ResponseReader::Complete()
{
  keepAlive_ = parser_->Beast().keep_alive();
  response_.body_ = std::move(parser_->Beast().get().body());
  return ReadStatus::Complete;
}

bool
ResponseReader::Started(const InputBuffer& aInput) const
{
  return parser_->Started() || !aInput.Empty();
}

ReadStatus
ResponseReader::OnEndOfStream()
{
  if (!parser_->HeaderDone()) {
    return Fail(AttemptFailure::Truncated);
  }
  beast::error_code error;
  parser_->Beast().put_eof(error);
  return error ? Fail(AttemptFailure::Truncated) : Complete();
}

Response
ResponseReader::Take()
{
  return std::move(response_);
}

std::string
WriteRequest(const Request& aRequest, std::string_view aHost)
{
  using beast::http::field;
  beast::http::request<beast::http::empty_body> message;
  message.method_string(ToBeast(OneLine(aRequest.method_)));
  message.target(ToBeast(OneLine(aRequest.target_)));
  message.version(11);
  SetFields(message, aRequest.headers_);
  if (message.count(field::host) == 0) {
    message.set(field::host, ToBeast(aHost));
  }
  const std::string_view method = aRequest.method_;
  if (!aRequest.body_.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
    message.set(field::content_length, std::to_string(aRequest.body_.size()));
  }
  std::string bytes = SerializeHeader(message, aRequest.body_.size());
  bytes += aRequest.body_;
  return bytes;
}

std::string
WriteResponse(const Response& aResponse, bool aToHead, ConnectionUse aUse)
{
  using beast::http::field;
  beast::http::response<beast::http::empty_body> message;
  message.result(static_cast<unsigned>(aResponse.status_));
  message.version(11);
  SetFields(message, aResponse.headers_);
  const bool mayHaveBody = aResponse.status_ != 204 && aResponse.status_ != 304;
  // The answer to HEAD states the length that the body would have; unknown if it was not given.
  if (mayHaveBody && !(aToHead && aResponse.body_.empty())) {
    message.set(field::content_length, std::to_string(aResponse.body_.size()));
  }
  if (aUse != ConnectionUse::KeepOpen) {
    message.set(field::connection, aUse == ConnectionUse::Close ? "close" : "keep-alive");
  }
  std::string bytes = SerializeHeader(message, aResponse.body_.size());
  if (mayHaveBody && !aToHead) {
    bytes += aResponse.body_;
  }
  return bytes;
}

} // namespace boragepier::http
