#include "testing/upstream/caller_connection.h"

#include <utility>

#include "boragepier/http/writer.h"

namespace boragepier::testing {

namespace {

constexpr std::size_t kMaxHeaderBytes = 64 << 10;
constexpr std::size_t kMaxBodyBytes = 64 << 20;

} // namespace

CallerConnection::CallerConnection(std::shared_ptr<net::TcpStream> aStream,
                                   RequestHandler aOnRequest,
                                   CloseHandler aOnClose)
  : stream_(std::move(aStream))
  , onRequest_(std::move(aOnRequest))
  , onClose_(std::move(aOnClose))
  , reader_(kMaxHeaderBytes, kMaxBodyBytes)
{
}

CallerConnection::~CallerConnection()
{
  stream_->Close();
}

void
CallerConnection::OnInput(std::string_view aBytes)
{
  if (!silent_) {
    input_.Append(aBytes);
    HandleInput();
  }
}

void
CallerConnection::HandleInput()
{
  if (std::exchange(handlingInput_, true)) {
    return;
  }
  const auto self = shared_from_this();
  while (!requestInProgress_ && !silent_ && !closed_) {
    const http::ReadStatus status = reader_.Read(input_);
    if (status == http::ReadStatus::Failed) {
      Close();
    }
    if (status != http::ReadStatus::Complete) {
      break;
    }
    requestInProgress_ = true;
    http::Request request = reader_.Take();
    isHead_ = request.method_ == "HEAD";
    onRequest_(self, std::move(request));
  }
  handlingInput_ = false;
}

void
CallerConnection::Respond(const http::Response& aResponse)
{
  if (silent_ || closed_) {
    return;
  }
  const auto use = reader_.KeepAlive() ? http::ConnectionUse::KeepOpen : http::ConnectionUse::Close;
  closeAfterWrite_ = closeAfterWrite_ || !reader_.KeepAlive();
  stream_->Write(http::WriteResponse(aResponse, isHead_, use));
  requestInProgress_ = false;
  if (stream_->OutputFlushed()) {
    OnOutputFlushed();
  }
}

void
CallerConnection::RespondTruncated(const http::Response& aResponse)
{
  if (silent_ || closed_) {
    return;
  }
  std::string bytes = http::WriteResponse(aResponse, isHead_, http::ConnectionUse::KeepOpen);
  bytes.pop_back();
  closeAfterWrite_ = true;
  stream_->Write(std::move(bytes));
  if (stream_->OutputFlushed()) {
    OnOutputFlushed();
  }
}

void
CallerConnection::OnOutputFlushed()
{
  if (closeAfterWrite_) {
    stream_->ShutdownOutput();
    requestInProgress_ = true; // stops the reading of further requests
  } else {
    HandleInput();
  }
}

void
CallerConnection::OnEnd(net::StreamEnd /*aEnd*/)
{
  Close();
}

void
CallerConnection::Close()
{
  if (!std::exchange(closed_, true)) {
    stream_->Close();
    onClose_(*this);
  }
}

} // namespace boragepier::testing
