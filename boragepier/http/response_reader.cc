#include "boragepier/http/response_reader.h"

#include <utility>

#include "boragepier/http/frame_parser.h"

namespace boragepier::http {

namespace {

// Longest header of an answer and longest chunk header or trailer, in bytes.
constexpr std::size_t kMaxResponseHeader = 64 << 10;

// A peer that sends interim answers without end is refused.
constexpr int kMaxInterim = 16;

} // namespace

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
  return interimCount_ > 0 || parser_->Started() || !aInput.Empty();
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

} // namespace boragepier::http
