#include "boragepier/http/request_reader.h"

#include <string>
#include <utility>

#include "boragepier/http/frame_parser.h"

namespace boragepier::http {

namespace {

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
  return std::string(aTarget[path] == '?' ? "/" : "").append(aTarget.substr(path));
}

} // namespace

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
RequestReader::HeaderDone() const
{
  return parser_->HeaderDone();
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
  if (!parser_->Started() && aInput.View() == "\r") {
    return ReadStatus::NeedMore;
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

} // namespace boragepier::http
