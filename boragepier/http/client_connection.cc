#include "boragepier/http/client_connection.h"

#include <chrono>
#include <utility>

#include "boragepier/http/writer.h"

namespace boragepier::http {

namespace {

// Interval at which a response whose body does not fit is tried again.
constexpr Duration kMemoryPollInterval = std::chrono::milliseconds(5);

std::string
HostFieldValue(const Target& aTarget)
{
  const bool isIpv6 = aTarget.address_.find(':') != std::string::npos;
  const std::string address = isIpv6 ? "[" + aTarget.address_ + "]" : aTarget.address_;
  return address + ":" + std::to_string(aTarget.port_);
}

} // namespace

ClientConnection::ClientConnection(net::EventLoop& aLoop,
                                   ConnectionId aId,
                                   const Target& aTarget,
                                   ClientConnectionHandler& aHandler,
                                   std::shared_ptr<BodyBudget> aBudget)
  : loop_(aLoop)
  , id_(aId)
  , target_(aTarget)
  , handler_(aHandler)
  , stream_(net::TcpStream::Connect(aLoop, aTarget.address_, aTarget.port_, *this))
  , hostField_(HostFieldValue(aTarget))
  , budget_(std::move(aBudget))
  , memoryTimer_(aLoop, [this] { ReadResponse(); })
{
}

ClientConnection::~ClientConnection()
{
  stream_->Close();
}

void
ClientConnection::Send(SendId aId,
                       std::shared_ptr<const Request> aRequest,
                       const SendOptions& aOptions)
{
  sendId_ = aId;
  request_ = std::move(aRequest);
  responseFields_ = { aOptions.requestIdField_, aOptions.singleFields_ };
  maxResponseBodyBytes_ = aOptions.maxResponseBody_;
  ExpectResponse();
  bytesWrittenBefore_ = stream_->BytesWritten();
  if (connected_) {
    WriteCurrentRequest();
  }
}

void
ClientConnection::WriteCurrentRequest()
{
  requestWriteTime_ = loop_.Now();
  WriteMessage(*stream_, WriteRequestHeader(*request_, hostField_), request_->body_);
}

void
ClientConnection::ExpectResponse()
{
  reader_.emplace(request_->method_ == "HEAD", maxResponseBodyBytes_, budget_, responseFields_);
}

// Skips the response that was read, or fails, unless it is one response and that of the request in
// flight. Returns false if it is.
bool
ClientConnection::HandleUnlessOwn()
{
  if (reader_->GoesOnAsAnother(input_.View())) {
    Fail(AttemptFailure::MixedResponse);
    return true;
  }
  const std::string_view field = responseFields_.requestId_;
  if (field.empty()) {
    return false;
  }
  const std::string_view expected = request_->headers_.Get(field).value_or("");
  const std::string_view id = reader_->GetResponse().headers_.Get(field).value_or("");
  if (id == expected) {
    answeredWithoutId_ = answeredWithoutId_ || id.empty();
    return false;
  }
  // One without an id may be a second response to an earlier request without an id.
  const bool isForeign = !id.empty() || answeredWithoutId_;
  if (isForeign && reader_->KeepAlive()) {
    foreignResponseSkipped_ = true;
    ExpectResponse();
  } else {
    Fail(AttemptFailure::MalformedResponse);
  }
  return true;
}

void
ClientConnection::Close()
{
  memoryTimer_.Clear();
  stream_->Close();
}

Outcome
ClientConnection::OutcomeIfAborted() const
{
  return stream_->BytesWritten() > bytesWrittenBefore_ ? Outcome::Unknown : Outcome::NotRun;
}

void
ClientConnection::OnConnected()
{
  connected_ = true;
  lastActivity_ = loop_.Now();
  if (request_ == nullptr) {
    return;
  }
  if (stream_->HasUndeliveredInput()) {
    // The peer sent a refusal or closed the connection before any request was written, so this
    // input is not a response to the request.
    Fail(AttemptFailure::NothingWritten);
    return;
  }
  WriteCurrentRequest();
}

void
ClientConnection::OnInput(std::string_view aBytes)
{
  if (request_ == nullptr) {
    stream_->Close();
    handler_.OnIdleClosed(*this);
    return;
  }
  lastInput_ = loop_.Now();
  input_.Append(aBytes);
  ReadResponse();
}

void
ClientConnection::ReadResponse()
{
  while (request_ != nullptr && !stream_->Closed()) {
    switch (reader_->Read(input_)) {
      case ReadStatus::NeedMore:
        stream_->PauseInput(false);
        return;
      case ReadStatus::NeedMemory:
        stream_->PauseInput(true);
        memoryTimer_.Set(loop_.Now() + kMemoryPollInterval);
        return;
      case ReadStatus::Complete:
        if (!HandleUnlessOwn()) {
          OnComplete();
          return;
        }
        break;
      case ReadStatus::Failed:
        Fail(reader_->Failure());
        return;
    }
  }
}

void
ClientConnection::OnEnd(net::StreamEnd aEnd)
{
  if (request_ == nullptr) {
    stream_->Close();
    handler_.OnIdleClosed(*this);
    return;
  }
  if (!connected_) {
    Fail(aEnd == net::StreamEnd::LocalLimit ? AttemptFailure::LocalLimit
                                            : AttemptFailure::ConnectFailed);
  } else if (OutcomeIfAborted() == Outcome::NotRun) {
    Fail(AttemptFailure::NothingWritten);
  } else if (!reader_->Started(input_)) {
    Fail(AttemptFailure::ConnectionLost);
  } else if (aEnd == net::StreamEnd::Closed && stream_->OutputFlushed() &&
             reader_->OnEndOfStream() == ReadStatus::Complete) {
    // A peer that ends its output while the request is still being written may reset the connection
    // next, and the response may lack its end.
    if (!HandleUnlessOwn()) {
      OnComplete();
    }
  } else {
    Fail(AttemptFailure::Truncated);
  }
}

void
ClientConnection::OnComplete()
{
  stream_->PauseInput(false);
  // After a response that came before the request was fully written, the peer would still expect
  // the rest of that request. Bytes after the response belong to no request.
  const bool reusable =
    reader_->KeepAlive() && input_.Empty() && stream_->OutputFlushed() && !foreignResponseSkipped_;
  ++responseCount_;
  lastActivity_ = loop_.Now();
  SendResult result;
  result.outcome_ = Outcome::Answered;
  result.response_ = reader_->Take();
  result.newConnection_ = responseCount_ == 1;
  result.foreignResponseSkipped_ = foreignResponseSkipped_;
  request_ = nullptr;
  if (!reusable) {
    stream_->Close();
  }
  handler_.OnRequestEnded(*this, std::move(result), reusable);
}

void
ClientConnection::Fail(AttemptFailure aFailure)
{
  SendResult result;
  result.outcome_ = OutcomeIfAborted();
  result.failure_ = aFailure;
  result.newConnection_ = HasNoResponseYet();
  result.foreignResponseSkipped_ = foreignResponseSkipped_;
  request_ = nullptr;
  stream_->Close();
  handler_.OnRequestEnded(*this, std::move(result), false);
}

} // namespace boragepier::http
