#include "boragepier/http/request_reader.h"

#include <charconv>
#include <string>
#include <utility>

#include "boragepier/http/message_parser.h"

namespace boragepier::http {

namespace {

// RFC 9112 section 3.2: an HTTP/1.1 request must have exactly one Host field.
template<typename Fields>
bool
HostFieldIsValid(const Fields& aFields)
{
  const auto count = aFields.count(beast::http::field::host);
  return count == 1 || (count == 0 && aFields.version() == 10);
}

// Converts an absolute-form target ("http://host/path") to origin form ("/path"). Returns an empty
// string for target forms that are not supported.
std::string
ToOriginForm(std::string_view aTarget)
{
  if (aTarget.starts_with('/') || aTarget == "*") {
    return std::string(aTarget);
  }
  const std::size_t schemeEnd = aTarget.find("://");
  if (schemeEnd == std::string_view::npos ||
      !beast::iequals(ToBeast(aTarget.substr(0, 4)), "http")) {
    return {};
  }
  const std::size_t pathStart = aTarget.find_first_of("/?", schemeEnd + 3);
  if (pathStart == std::string_view::npos) {
    return "/";
  }
  return std::string(aTarget[pathStart] == '?' ? "/" : "").append(aTarget.substr(pathStart));
}

} // namespace

class RequestReader::Parser : public MessageParser<true>
{
public:
  using MessageParser::MessageParser;
};

RequestReader::RequestReader(std::size_t aMaxHeaderBytes,
                             std::size_t aMaxBodyBytes,
                             std::shared_ptr<BodyBudget> aBudget)
  : maxHeaderBytes_(aMaxHeaderBytes)
  , maxBodyBytes_(aMaxBodyBytes)
  , budget_(std::move(aBudget))
{
  Reset();
}

RequestReader::~RequestReader() = default;

void
RequestReader::Reset()
{
  parser_ = std::make_unique<Parser>(maxHeaderBytes_, maxBodyBytes_);
  charge_ = BodyCharge(budget_, BodyUse::Request);
  expectContinue_ = false;
}

void
RequestReader::SetLimits(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes)
{
  if (aMaxHeaderBytes == maxHeaderBytes_ && aMaxBodyBytes == maxBodyBytes_) {
    return;
  }
  maxHeaderBytes_ = aMaxHeaderBytes;
  maxBodyBytes_ = aMaxBodyBytes;
  Reset();
}

void
RequestReader::Discard()
{
  Reset();
  request_ = {};
}

// Has the body paid for. Otherwise sets the reason of the failure and returns false.
bool
RequestReader::Charge()
{
  if (parser_->Charge(charge_)) {
    return true;
  }
  if (!budget_->CanEverHold(BodyUse::Request, parser_->RequiredBytes())) {
    failure_ = RefusalReason::BodyTooLarge;
    return false;
  }
  budget_->CountRefusal();
  failure_ = RefusalReason::BodyBudgetExceeded;
  return false;
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

std::optional<std::uint64_t>
RequestReader::DeclaredBody() const
{
  // Beast's content_length() requires that the whole header was accepted.
  const std::string_view text =
    FromBeast(parser_->BeastParser().get()[beast::http::field::content_length]);
  std::uint64_t bytes = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, bytes);
  return error == std::errc() && stop == end ? std::optional(bytes) : std::nullopt;
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
    if (!Charge()) {
      return ReadStatus::Failed;
    }
    switch (parser_->Advance(aInput)) {
      case ParseStatus::NeedMore:
        return ReadStatus::NeedMore;
      case ParseStatus::Progress:
        break;
      case ParseStatus::HeaderDone:
        if (!AcceptHeader()) {
          return Fail(RefusalReason::MalformedRequest);
        }
        if (parser_->IsDone()) {
          return ReadStatus::Complete;
        }
        break;
      case ParseStatus::Complete:
        return Charge() ? ReadStatus::Complete : ReadStatus::Failed;
      case ParseStatus::HeaderTooLarge:
        return Fail(RefusalReason::HeaderTooLarge);
      case ParseStatus::BodyTooLarge:
        return Fail(RefusalReason::BodyTooLarge);
      case ParseStatus::Malformed:
        return Fail(RefusalReason::MalformedRequest);
    }
  }
}

// Validates the header and copies it. This happens before the body is read, because Beast adds
// trailer fields to the header fields.
bool
RequestReader::AcceptHeader()
{
  const auto& message = parser_->BeastParser().get();
  request_.target_ = ToOriginForm(FromBeast(message.target()));
  if (request_.target_.empty() || !HostFieldIsValid(message) ||
      !TransferCodingIsSupported(parser_->BeastParser())) {
    return false;
  }
  request_.method_ = FromBeast(message.method_string());
  request_.headers_ = CopyHeaders(message);
  RemoveHopByHopFields(request_.headers_);
  http10_ = message.version() == 10;
  keepAlive_ = parser_->BeastParser().keep_alive();
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
  request_.body_ = parser_->TakeBody(std::move(charge_));
  Reset();
  return std::exchange(request_, {});
}

} // namespace boragepier::http
