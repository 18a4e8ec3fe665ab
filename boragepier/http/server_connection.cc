#include "boragepier/http/server_connection.h"

#include <algorithm>
#include <utility>

#include "boragepier/base/internal_error.h"
#include "boragepier/http/writer.h"

namespace boragepier::http {

namespace {

// Limit for pipelined input that is buffered while a request is handled.
constexpr std::size_t kMaxReadAheadBytes = 64 << 10;

// Input that is not charged to the memory for bodies.
constexpr std::size_t kUnchargedInputBytes = 4 << 10;

// Time without input for the caller to read the last response and close. Closing a socket that
// still has or gets unread input resets the connection, and the caller would lose the response.
constexpr Duration kLingerTimeout = std::chrono::seconds(2);

} // namespace

class ServerConnection::ServerExchange : public Exchange
{
public:
  ServerExchange(net::EventLoop& aLoop,
                 std::shared_ptr<ServerConnection> aConnection,
                 Request aRequest)
    : loop_(aLoop)
    , connection_(std::move(aConnection))
    , request_(std::move(aRequest))
    , arrivalTime_(aLoop.Now())
  {
  }

  ~ServerExchange() override { ServerExchange::Abort(); }

  const Request& GetRequest() const override { return request_; }
  MonotonicTime Arrival() const override { return arrivalTime_; }

  void Respond(Response aResponse) override
  {
    if (const auto connection = std::exchange(connection_, nullptr)) {
      onAbandoned_ = nullptr;
      if (!RunContained(ErrorScope::Request, [&] { connection->SendResponse(aResponse); })) {
        connection->Close(UnansweredCause::Aborted);
      }
    }
  }

  void Abort() override
  {
    if (const auto connection = std::exchange(connection_, nullptr)) {
      onAbandoned_ = nullptr;
      connection->Close(UnansweredCause::Aborted);
    }
  }

  void SetAbandonedCallback(std::function<void(CallerEnd)> aCallback) override
  {
    if (abandoned_) {
      loop_.Post([callback = std::move(aCallback)] { callback(CallerEnd::Gone); });
    } else if (connection_) {
      onAbandoned_ = std::move(aCallback);
      if (halfClosed_) {
        loop_.Post([callback = onAbandoned_] { callback(CallerEnd::HalfClosed); });
      }
    }
  }

  // Called when the grace period after the end of the caller's input has passed.
  void ReportHalfClose()
  {
    halfClosed_ = true;
    if (const auto callback = onAbandoned_) { // a copy, because Respond() clears the member
      callback(CallerEnd::HalfClosed);
    }
  }

  // Called when the connection closes. Returns the callback set by the handler.
  std::function<void(CallerEnd)> Detach()
  {
    connection_ = nullptr;
    abandoned_ = true;
    return std::exchange(onAbandoned_, nullptr);
  }

private:
  net::EventLoop& loop_;
  std::shared_ptr<ServerConnection> connection_;
  Request request_;
  MonotonicTime arrivalTime_;
  std::function<void(CallerEnd)> onAbandoned_;
  bool halfClosed_ = false;
  bool abandoned_ = false;
};

ServerConnection::ServerConnection(ServerContext& aContext, std::shared_ptr<net::TcpStream> aStream)
  : context_(aContext)
  , stream_(std::move(aStream))
  , requestLimits_(aContext.Limits())
  , reader_(requestLimits_.maxHeader_, requestLimits_.maxBody_, aContext.Budget())
  , inputCharge_(aContext.Budget(), BodyUse::Request)
  , timeout_(aContext.Loop(), [this] { OnTimeout(); })
{
}

ServerConnection::~ServerConnection()
{
  stream_->Close();
}

void
ServerConnection::Start()
{
  SetReadTimeout();
  stream_->Start(*this);
}

void
ServerConnection::StartRefused(RefusalReason aReason)
{
  stream_->Start(*this);
  SendRefusal(aReason);
}

bool
ServerConnection::CloseIfIdle()
{
  if (!IdleSince() || stream_->HasUndeliveredInput()) {
    return false;
  }
  Close(UnansweredCause::Aborted); // no request is unanswered while reading
  return true;
}

std::optional<MonotonicTime>
ServerConnection::IdleSince() const
{
  return state_ == State::Reading && !reader_.Started(input_) ? std::optional(idleSince_)
                                                              : std::nullopt;
}

void
ServerConnection::Close(UnansweredCause aCause)
{
  if (state_ == State::Closed) {
    return;
  }
  const bool unanswered = state_ == State::Handling || state_ == State::Writing;
  state_ = State::Closed;
  timeout_.Clear();
  stream_->Close();
  if (const auto exchange = exchange_.lock()) {
    exchange->Detach();
  }
  if (unanswered) {
    context_.OnUnanswered(aCause);
  }
  context_.OnClosed(*this);
}

void
ServerConnection::OnInput(std::string_view aBytes)
{
  if (state_ == State::Lingering) {
    if (!context_.AcceptingStopped()) {
      timeout_.Set(std::min(lingerEnd_, context_.Loop().Now() + kLingerTimeout));
    }
    return;
  }
  input_.Append(aBytes);
  ProcessInput();
  ApplyReadAheadLimit();
}

void
ServerConnection::ApplyReadAheadLimit()
{
  if (state_ == State::Handling || state_ == State::Writing) {
    stream_->PauseInput(input_.Size() > kMaxReadAheadBytes);
  }
}

void
ServerConnection::OnOutputFlushed()
{
  if (state_ == State::Writing) {
    OnResponseSent();
    ProcessInput();
  }
}

bool
ServerConnection::OnInputEnded()
{
  if (state_ != State::Handling && state_ != State::Writing) {
    return false;
  }
  inputEndTime_ = context_.Loop().Now();
  if (state_ == State::Handling) {
    timeout_.Set(*inputEndTime_ + context_.Limits().halfCloseGrace_);
  }
  return true;
}

void
ServerConnection::OnEnd(net::StreamEnd /*aEnd*/)
{
  const auto self = shared_from_this();
  std::function<void(CallerEnd)> onAbandoned;
  if (const auto exchange = exchange_.lock(); exchange && state_ == State::Handling) {
    onAbandoned = exchange->Detach();
  }
  Close(UnansweredCause::CallerClosed);
  if (onAbandoned) {
    onAbandoned(CallerEnd::Gone);
  }
}

// Processes buffered requests until one waits for its handler, for output or for more input. A
// nested call returns immediately: a handler may respond synchronously to many pipelined requests,
// and recursion could exhaust the stack.
void
ServerConnection::ProcessInput()
{
  if (std::exchange(processingInput_, true)) {
    return;
  }
  const auto self = shared_from_this();
  try {
    while (state_ == State::Reading && ProcessNextRequest()) {
    }
  } catch (...) {
    processingInput_ = false;
    throw;
  }
  processingInput_ = false;
  inputCharge_.Resize(input_.Size() > kUnchargedInputBytes ? input_.Size() : 0);
}

// Returns false if more input is needed.
bool
ServerConnection::ProcessNextRequest()
{
  if (!requestStarted_) {
    requestLimits_ = context_.Limits();
    reader_.SetLimits(requestLimits_.maxHeader_, requestLimits_.maxBody_);
  }
  switch (reader_.Read(input_)) {
    case ReadStatus::NeedMore:
      if (inputEndTime_) {
        Close(UnansweredCause::CallerClosed); // all complete requests have been answered
        return false;
      }
      if (reader_.TakeExpectContinue()) {
        stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      SetReadTimeout();
      if (context_.AcceptingStopped()) {
        CloseIfIdle(); // it became idle later than the others
      }
      return false;
    case ReadStatus::Complete:
      HandleRequest();
      return true;
    case ReadStatus::NeedMemory:
    case ReadStatus::Failed:
      break;
  }
  ReportRefusal(reader_.Failure());
  SendRefusal(reader_.Failure());
  return true;
}

void
ServerConnection::SetReadTimeout()
{
  const MonotonicTime now = context_.Loop().Now();
  if (!reader_.Started(input_)) {
    requestStarted_ = false;
    idleSince_ = now;
    SetIdleDeadline(now + context_.Limits().idleTimeout_);
    return;
  }
  if (!std::exchange(requestStarted_, true)) {
    requestStartTime_ = now;
  }
  const Duration limit =
    reader_.HeaderDone() ? requestLimits_.requestTimeout_
                         : std::min(requestLimits_.headerTimeout_, requestLimits_.requestTimeout_);
  timeout_.Set(requestStartTime_ + limit);
}

void
ServerConnection::SetIdleDeadline(MonotonicTime aDeadline)
{
  idleDeadline_ = aDeadline;
  timeout_.Set(aDeadline);
}

void
ServerConnection::ApplyIdleTimeout()
{
  if (!IdleSince()) {
    return;
  }
  const Duration idleTimeout = context_.Limits().idleTimeout_;
  // A connection that has been idle for longer than a lowered timeout is not closed at once: a
  // request may be on its way.
  const MonotonicTime earliest = std::min(idleDeadline_, context_.Loop().Now() + idleTimeout);
  SetIdleDeadline(std::max(idleSince_ + idleTimeout, earliest));
}

void
ServerConnection::HandleRequest()
{
  state_ = State::Handling;
  requestStarted_ = false;
  timeout_.Clear();
  closeAfterResponse_ = !reader_.KeepAlive();
  Request request = reader_.Take();
  requestIsHead_ = request.method_ == "HEAD";
  auto exchange =
    std::make_shared<ServerExchange>(context_.Loop(), shared_from_this(), std::move(request));
  exchange_ = exchange;
  if (inputEndTime_) {
    const MonotonicTime graceEnd = *inputEndTime_ + context_.Limits().halfCloseGrace_;
    if (context_.Loop().Now() >= graceEnd) {
      ReportRefusal(RefusalReason::CallerLeft);
      exchange->Respond(context_.MakeRefusal(RefusalReason::CallerLeft));
      return;
    }
    timeout_.Set(graceEnd);
  }
  context_.Handle(std::move(exchange));
}

void
ServerConnection::ReportRefusal(RefusalReason aReason)
{
  context_.OnRefused(
    { aReason, reader_.DeclaredBody(), reader_.MaxHeaderBytes(), reader_.MaxBodyBytes() });
}

void
ServerConnection::SendRefusal(RefusalReason aReason)
{
  closeAfterResponse_ = true;
  requestIsHead_ = false;
  reader_.Discard();
  input_.Clear();
  SendResponse(context_.MakeRefusal(aReason));
}

void
ServerConnection::SendResponse(const Response& aResponse)
{
  if (state_ == State::Closed) {
    return;
  }
  const auto self = shared_from_this();
  const bool lastRequest = inputEndTime_ && input_.Size() == 0;
  closeAfterResponse_ = closeAfterResponse_ || context_.Draining() || lastRequest;
  ConnectionUse connectionUse =
    reader_.Http10() ? ConnectionUse::KeepOpenHttp10 : ConnectionUse::KeepOpen;
  if (closeAfterResponse_) {
    connectionUse = ConnectionUse::Close;
  }
  state_ = State::Writing;
  WriteMessage(*stream_,
               WriteResponseHeader(aResponse, requestIsHead_, connectionUse),
               WrittenBody(aResponse, requestIsHead_));
  if (stream_->OutputFlushed()) {
    OnResponseSent();
    ProcessInput();
  } else {
    timeout_.Set(context_.Loop().Now() + context_.Limits().requestTimeout_);
  }
}

void
ServerConnection::OnResponseSent()
{
  if (closeAfterResponse_ && inputEndTime_) {
    state_ = State::Lingering;
    Close(UnansweredCause::CallerClosed); // there is no unread input that would cause a reset
    return;
  }
  if (closeAfterResponse_) {
    state_ = State::Lingering;
    const MonotonicTime now = context_.Loop().Now();
    lingerEnd_ = now + std::max(kLingerTimeout, context_.Limits().requestTimeout_);
    timeout_.Set(now + kLingerTimeout);
    stream_->ShutdownOutput();
  } else {
    state_ = State::Reading;
  }
  stream_->PauseInput(false);
}

void
ServerConnection::OnTimeout()
{
  const auto self = shared_from_this();
  if (state_ == State::Handling) {
    if (const auto exchange = exchange_.lock()) {
      exchange->ReportHalfClose();
    }
    return;
  }
  Close(UnansweredCause::WriteTimeout);
}

} // namespace boragepier::http
