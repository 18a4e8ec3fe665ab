#include "boragepier/http/client_connection.h"

#include <utility>

#include "boragepier/http/writer.h"

namespace boragepier::http {

namespace {

std::string
HostOf(const Target& aTarget)
{
  const bool version6 = aTarget.address_.find(':') != std::string::npos;
  const std::string address = version6 ? "[" + aTarget.address_ + "]" : aTarget.address_;
  return address + ":" + std::to_string(aTarget.port_);
}

} // namespace

ClientConnection::ClientConnection(net::EventLoop& aLoop,
                                   const Target& aTarget,
                                   ClientConnectionEvents& aEvents)
  : loop_(aLoop)
  , target_(aTarget)
  , events_(aEvents)
  , stream_(net::TcpStream::Connect(aLoop, aTarget.address_, aTarget.port_, *this))
  , host_(HostOf(aTarget))
{
}

ClientConnection::~ClientConnection()
{
  stream_->Close();
}

void
ClientConnection::Send(SendId aId,
                       std::shared_ptr<const Request> aRequest,
                       std::size_t aMaxResponseBody)
{
  sendId_ = aId;
  request_ = std::move(aRequest);
  reader_.emplace(request_->method_ == "HEAD", aMaxResponseBody);
  writtenBefore_ = stream_->BytesWritten();
  if (connected_) {
    WriteNow();
  }
}

void
ClientConnection::WriteNow()
{
  requestWritten_ = loop_.Now();
  stream_->Write(WriteRequest(*request_, host_));
}

void
ClientConnection::Close()
{
  stream_->Close();
}

Outcome
ClientConnection::OutcomeIfGivenUp() const
{
  return stream_->BytesWritten() > writtenBefore_ ? Outcome::Unknown : Outcome::NotRun;
}

void
ClientConnection::OnConnected()
{
  connected_ = true;
  lastProofOfLife_ = loop_.Now();
  if (request_ == nullptr) {
    return;
  }
  if (stream_->HasUndeliveredInput()) {
    // The peer refuses the connection or has closed it: these bytes answer no request.
    Fail(AttemptFailure::NothingWritten);
    return;
  }
  WriteNow();
}

void
ClientConnection::OnInput(std::string_view aBytes)
{
  if (request_ == nullptr) {
    stream_->Close();
    events_.OnIdleClosed(*this);
    return;
  }
  input_.Append(aBytes);
  switch (reader_->Read(input_)) {
    case ReadStatus::NeedMore:
      break;
    case ReadStatus::Complete:
      OnComplete();
      break;
    case ReadStatus::Failed:
      Fail(reader_->Failure());
      break;
  }
}

void
ClientConnection::OnEnd(net::StreamEnd aEnd)
{
  if (request_ == nullptr) {
    stream_->Close();
    events_.OnIdleClosed(*this);
    return;
  }
  if (!connected_) {
    Fail(AttemptFailure::ConnectFailed);
  } else if (OutcomeIfGivenUp() == Outcome::NotRun) {
    Fail(AttemptFailure::NothingWritten);
  } else if (!reader_->Started(input_)) {
    Fail(AttemptFailure::ConnectionLost);
  } else if (aEnd == net::StreamEnd::Closed && reader_->OnEndOfStream() == ReadStatus::Complete) {
    OnComplete();
  } else {
    Fail(AttemptFailure::Truncated);
  }
}

void
ClientConnection::OnComplete()
{
  // An answer that came before the request was sent completely leaves the rest of it on the
  // connection. Bytes behind the answer belong to no request.
  const bool reusable = reader_->KeepAlive() && input_.Empty() && stream_->Drained();
  ++answers_;
  lastProofOfLife_ = loop_.Now();
  SendResult result;
  result.outcome_ = Outcome::Answered;
  result.response_ = reader_->Take();
  result.newConnection_ = answers_ == 1;
  request_ = nullptr;
  if (!reusable) {
    stream_->Close();
  }
  events_.OnRequestEnded(*this, std::move(result), reusable);
}

void
ClientConnection::Fail(AttemptFailure aFailure)
{
  SendResult result;
  result.outcome_ = OutcomeIfGivenUp();
  result.failure_ = aFailure;
  result.newConnection_ = IsNew();
  request_ = nullptr;
  stream_->Close();
  events_.OnRequestEnded(*this, std::move(result), false);
}

} // namespace boragepier::http
