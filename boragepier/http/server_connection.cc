#include "boragepier/http/server_connection.h"

#include <algorithm>
#include <utility>

#include "boragepier/http/writer.h"

namespace boragepier::http {

namespace {

// Input of a caller that sends ahead is read up to this size while its request is handled.
constexpr std::size_t kMaxReadAhead = 64 << 10;

// Time for the caller to read the last response. Closing while its bytes arrive unread would reset
// the connection, and the reset discards the response at the caller.
constexpr Duration kLingerTime = std::chrono::seconds(2);

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
    , arrival_(aLoop.Now())
  {
  }

  ~ServerExchange() override { ServerExchange::Abort(); }

  const Request& GetRequest() const override { return request_; }
  MonotonicTime Arrival() const override { return arrival_; }

  void Respond(Response aResponse) override
  {
    if (const auto connection = std::exchange(connection_, nullptr)) {
      onAbandoned_ = nullptr;
      connection->SendResponse(aResponse);
    }
  }

  void Abort() override
  {
    if (const auto connection = std::exchange(connection_, nullptr)) {
      onAbandoned_ = nullptr;
      connection->Close();
    }
  }

  void OnAbandoned(std::function<void()> aFunction) override
  {
    if (abandoned_) {
      loop_.Post(std::move(aFunction));
    } else if (connection_) {
      onAbandoned_ = std::move(aFunction);
    }
  }

  // The connection closed. Returns the function that the handler set.
  std::function<void()> Detach()
  {
    connection_ = nullptr;
    abandoned_ = true;
    return std::exchange(onAbandoned_, nullptr);
  }

private:
  net::EventLoop& loop_;
  std::shared_ptr<ServerConnection> connection_;
  Request request_;
  MonotonicTime arrival_;
  std::function<void()> onAbandoned_;
  bool abandoned_ = false;
};

ServerConnection::ServerConnection(ServerContext& aContext, std::shared_ptr<net::TcpStream> aStream)
  : context_(aContext)
  , stream_(std::move(aStream))
  , reader_(aContext.Limits().maxHeader_, aContext.Limits().maxBody_)
  , deadline_(aContext.Loop(), [this] { OnDeadline(); })
{
}

ServerConnection::~ServerConnection()
{
  stream_->Close();
}

void
ServerConnection::Start()
{
  SetReadDeadline();
  stream_->Start(*this);
}

void
ServerConnection::StartRefused(RefusalReason aReason)
{
  stream_->Start(*this);
  SendRefusal(aReason);
}

void
ServerConnection::CloseIfIdle()
{
  if (state_ == State::Reading && !reader_.Started(input_) && !stream_->HasUndeliveredInput()) {
    Close();
  }
}

void
ServerConnection::Close()
{
  if (state_ == State::Closed) {
    return;
  }
  state_ = State::Closed;
  deadline_.Clear();
  stream_->Close();
  if (std::exchange(counted_, false)) {
    context_.OnRequestCount(-1);
  }
  if (const auto exchange = exchange_.lock()) {
    exchange->Detach();
  }
  context_.OnClosed(*this);
}

void
ServerConnection::OnInput(std::string_view aBytes)
{
  if (state_ == State::Lingering) {
    return;
  }
  input_.Append(aBytes);
  Advance();
  LimitInput();
}

void
ServerConnection::LimitInput()
{
  if (state_ == State::Handling || state_ == State::Writing) {
    stream_->PauseInput(input_.Size() > kMaxReadAhead);
  }
}

void
ServerConnection::OnDrained()
{
  if (state_ == State::Writing) {
    OnResponseSent();
    Advance();
  }
}

void
ServerConnection::OnEnd(net::StreamEnd /*aEnd*/)
{
  const auto self = shared_from_this();
  std::function<void()> onAbandoned;
  if (const auto exchange = exchange_.lock(); exchange && state_ == State::Handling) {
    onAbandoned = exchange->Detach();
  }
  Close();
  if (onAbandoned) {
    onAbandoned();
  }
}

// Reads and handles requests until one waits for its handler, its output or more input. A loop
// instead of recursion, because a handler may respond at once to many pipelined requests.
void
ServerConnection::Advance()
{
  if (std::exchange(advancing_, true)) {
    return;
  }
  const auto self = shared_from_this();
  while (state_ == State::Reading && ReadNext()) {
  }
  advancing_ = false;
}

// Returns false if more input is needed.
bool
ServerConnection::ReadNext()
{
  switch (reader_.Read(input_)) {
    case ReadStatus::NeedMore:
      if (reader_.TakeExpectContinue()) {
        stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      SetReadDeadline();
      return false;
    case ReadStatus::Complete:
      HandleRequest();
      return true;
    case ReadStatus::Failed:
      break;
  }
  SendRefusal(reader_.Failure());
  return true;
}

void
ServerConnection::SetReadDeadline()
{
  const MonotonicTime now = context_.Loop().Now();
  if (!reader_.Started(input_)) {
    requestStarted_ = false;
    deadline_.Set(now + context_.Limits().idleTimeout_);
    return;
  }
  const auto& limits = context_.Limits();
  if (!std::exchange(requestStarted_, true)) {
    startedAt_ = now;
  }
  const Duration limit = reader_.HeaderDone()
                           ? limits.requestTimeout_
                           : std::min(limits.headerTimeout_, limits.requestTimeout_);
  deadline_.Set(startedAt_ + limit);
}

void
ServerConnection::HandleRequest()
{
  state_ = State::Handling;
  requestStarted_ = false;
  deadline_.Clear();
  counted_ = true;
  context_.OnRequestCount(1);
  closeAfterResponse_ = !reader_.KeepAlive();
  Request request = reader_.Take();
  toHead_ = request.method_ == "HEAD";
  auto exchange =
    std::make_shared<ServerExchange>(context_.Loop(), shared_from_this(), std::move(request));
  exchange_ = exchange;
  context_.Handle(std::move(exchange));
}

void
ServerConnection::SendRefusal(RefusalReason aReason)
{
  closeAfterResponse_ = true;
  toHead_ = false;
  SendResponse(context_.Refuse(aReason));
}

void
ServerConnection::SendResponse(const Response& aResponse)
{
  if (state_ == State::Closed) {
    return;
  }
  const auto self = shared_from_this();
  closeAfterResponse_ = closeAfterResponse_ || context_.Draining();
  ConnectionUse use = reader_.Http10() ? ConnectionUse::KeepOpenHttp10 : ConnectionUse::KeepOpen;
  if (closeAfterResponse_) {
    use = ConnectionUse::Close;
  }
  state_ = State::Writing;
  stream_->Write(WriteResponse(aResponse, toHead_, use));
  if (stream_->Drained()) {
    OnResponseSent();
    Advance();
  } else {
    deadline_.Set(context_.Loop().Now() + context_.Limits().requestTimeout_);
  }
}

void
ServerConnection::OnResponseSent()
{
  if (std::exchange(counted_, false)) {
    context_.OnRequestCount(-1);
  }
  if (closeAfterResponse_) {
    state_ = State::Lingering;
    deadline_.Set(context_.Loop().Now() + kLingerTime);
    stream_->ShutdownOutput();
  } else {
    state_ = State::Reading;
  }
  stream_->PauseInput(false);
}

void
ServerConnection::OnDeadline()
{
  const auto self = shared_from_this();
  Close();
}

} // namespace boragepier::http
