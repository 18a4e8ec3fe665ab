#include "boragepier/http/response_reader.h"

#include <algorithm>
#include <utility>

#include "boragepier/http/message_parser.h"

namespace boragepier::http {

namespace {

// Limit for the header of a response, and for each chunk header and the trailer.
constexpr std::size_t kMaxResponseHeaderBytes = 64 << 10;

// Limits how long a peer can keep a request open with interim responses (1xx).
constexpr int kMaxInterimResponses = 16;

constexpr int kMaxStatus = 599;

} // namespace

class ResponseReader::Parser : public MessageParser<false>
{
public:
  using MessageParser::MessageParser;
};

ResponseReader::ResponseReader(bool aRequestIsHead,
                               std::size_t aMaxBodyBytes,
                               std::shared_ptr<BodyBudget> aBudget,
                               const ResponseFields& aFields)
  : requestIsHead_(aRequestIsHead)
  , maxBodyBytes_(aMaxBodyBytes)
  , budget_(std::move(aBudget))
  , fields_(aFields)
{
  Reset();
}

ResponseReader::~ResponseReader() = default;

void
ResponseReader::Reset()
{
  parser_ = std::make_unique<Parser>(kMaxResponseHeaderBytes, maxBodyBytes_);
  parser_->BeastParser().skip(requestIsHead_);
  embeddedResponse_.emplace(fields_.requestId_);
  charge_ = BodyCharge(budget_, BodyUse::Response);
}

ReadStatus
ResponseReader::Fail(AttemptFailure aFailure)
{
  failure_ = aFailure;
  return ReadStatus::Failed;
}

// Whether the header consists of parts of two responses: the status line of the second one is the
// end of a field or of the reason of the first, or fields occur twice.
bool
ResponseReader::HeaderIsMixed() const
{
  const auto& message = parser_->BeastParser().get();
  if (FindStatusLine(FromBeast(message.reason())) != std::string_view::npos) {
    return true;
  }
  for (const auto& field : message) {
    if (FindStatusLine(FromBeast(field.value())) != std::string_view::npos) {
      return true;
    }
  }
  const auto isRepeated = [&](std::string_view aName) { return message.count(ToBeast(aName)) > 1; };
  return (!fields_.requestId_.empty() && isRepeated(fields_.requestId_)) ||
         std::ranges::any_of(fields_.single_, isRepeated);
}

// Whether the body that was read up to now holds another response.
bool
ResponseReader::BodyIsMixed()
{
  return embeddedResponse_->Update(parser_->BeastParser().get().body());
}

ReadStatus
ResponseReader::Read(InputBuffer& aInput)
{
  const ReadStatus status = Continue(aInput);
  return status == ReadStatus::NeedMore && parser_->HeaderDone() && BodyIsMixed()
           ? Fail(AttemptFailure::MixedResponse)
           : status;
}

ReadStatus
ResponseReader::Continue(InputBuffer& aInput)
{
  for (;;) {
    if (!parser_->Charge(charge_)) {
      if (!budget_->CanEverHold(BodyUse::Response, parser_->RequiredBytes())) {
        return Fail(AttemptFailure::ResponseTooLarge);
      }
      return ReadStatus::NeedMemory;
    }
    switch (parser_->Advance(aInput)) {
      case ParseStatus::NeedMore:
        return ReadStatus::NeedMore;
      case ParseStatus::Progress:
        break;
      case ParseStatus::HeaderDone:
        if (HeaderIsMixed()) {
          return Fail(AttemptFailure::MixedResponse);
        }
        if (parser_->BeastParser().get().result_int() / 100 == 1) {
          if (parser_->BeastParser().get().result_int() == 101 ||
              ++interimResponseCount_ > kMaxInterimResponses) {
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
      case ParseStatus::Complete:
        return Complete();
      case ParseStatus::HeaderTooLarge:
      case ParseStatus::BodyTooLarge:
        return Fail(AttemptFailure::ResponseTooLarge);
      case ParseStatus::Malformed:
        return Fail(AttemptFailure::MalformedResponse);
    }
  }
}

bool
ResponseReader::AcceptHeader()
{
  const auto& message = parser_->BeastParser().get();
  if (!TransferCodingIsSupported(parser_->BeastParser())) {
    return false;
  }
  response_.status_ = static_cast<int>(message.result_int());
  response_.headers_ = CopyHeaders(message);
  RemoveHopByHopFields(response_.headers_);
  return response_.status_ >= 200 && response_.status_ <= kMaxStatus;
}

ReadStatus
ResponseReader::Complete()
{
  // The trailer is among the fields now.
  const bool hasTrailer = parser_->BeastParser().chunked();
  if ((hasTrailer && HeaderIsMixed()) || BodyIsMixed()) {
    return Fail(AttemptFailure::MixedResponse);
  }
  keepAlive_ = parser_->BeastParser().keep_alive();
  response_.body_ = parser_->TakeBody(std::move(charge_));
  return ReadStatus::Complete;
}

bool
ResponseReader::Started(const InputBuffer& aInput) const
{
  return interimResponseCount_ > 0 || parser_->Started() || !aInput.Empty();
}

ReadStatus
ResponseReader::OnEndOfStream()
{
  if (!parser_->HeaderDone()) {
    return Fail(AttemptFailure::Truncated);
  }
  beast::error_code error;
  parser_->BeastParser().put_eof(error);
  return error ? Fail(AttemptFailure::Truncated) : Complete();
}

bool
ResponseReader::GoesOnAsAnother(std::string_view aUnread) const
{
  return embeddedResponse_->ContinuesAfter(response_.body_, aUnread);
}

Response
ResponseReader::Take()
{
  return std::move(response_);
}

} // namespace boragepier::http
