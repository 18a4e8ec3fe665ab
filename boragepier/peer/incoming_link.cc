#include <utility>

#include "boragepier/base/internal_error.h"
#include "boragepier/peer/peer_codec.h"
#include "boragepier/peer/peer_link.h"

namespace boragepier::peer {

namespace {

// Limit for responses that the peer has not read. A peer above it sends without reading.
constexpr std::uint64_t kMaxUnreadOutputBytes = std::uint64_t{ 16 } * 1024;

} // namespace

IncomingLink::IncomingLink(net::EventLoop& aLoop,
                           std::shared_ptr<net::TcpStream> aStream,
                           const PeerLimits& aLimits,
                           PeerCounters& aCounters,
                           Callbacks aCallbacks)
  : loop_(aLoop)
  , limits_(aLimits)
  , counters_(aCounters)
  , callbacks_(std::move(aCallbacks))
  , stream_(std::move(aStream))
  , session_(Http2Session::Server(
      [this](const PeerEndpoint& aSender, const std::string& aBody) { OnRequest(aSender, aBody); }))
  , byteBudget_(aLimits.maxReceivedBytesPerSecond_)
  , messageBudget_(aLimits.maxReceivedMessagesPerSecond_)
  , deadline_(aLoop, [this] {
    counters_.timeouts_ += requestPending_ ? 1 : 0;
    Close();
  })
{
  stream_->Start(*this);
  deadline_.Set(loop_.Now() + limits_.progressTimeout_);
}

IncomingLink::~IncomingLink()
{
  stream_->Close();
}

void
IncomingLink::OnInput(std::string_view aBytes)
{
  counters_.bytesReceived_ += aBytes.size();
  byteBudget_.Take(aBytes.size(), loop_.Now());
  try {
    ProcessInput(aBytes);
  } catch (const PeerVersionError&) {
    ++counters_.otherVersion_;
    Close();
  } catch (const PeerMessageTooLargeError&) {
    ++counters_.oversized_;
    Close();
  } catch (const Error&) { // PeerProtocolError or PeerMessageError
    ++counters_.malformed_;
    Close();
  } catch (...) {
    ReportInternalError(ErrorScope::PeerMessage);
    Close();
  }
}

void
IncomingLink::ProcessInput(std::string_view aBytes)
{
  session_.Receive(aBytes);
  if (std::string output = session_.TakeOutput(); !output.empty()) {
    counters_.bytesSent_ += output.size();
    outputBytes_ += output.size();
    stream_->Write(std::move(output));
  }
  const bool tooMuchUnread = outputBytes_ - stream_->BytesWritten() > kMaxUnreadOutputBytes;
  if (!byteBudget_.HasTokens(loop_.Now()) || !messageBudget_.HasTokens(loop_.Now()) ||
      tooMuchUnread) {
    ++counters_.flooded_;
    Close();
    return;
  }
  if (session_.Ended()) {
    Close();
    return;
  }
  // The deadline for a request starts with its first byte and is not extended by further bytes, so
  // a peer cannot keep the connection by sending a byte now and then.
  const bool requestPending = session_.OpenStreamCount() > 0;
  if (!requestPending && !hasReceivedRequest_) {
    return;
  }
  if (!requestPending) {
    deadline_.Set(loop_.Now() + limits_.idleTimeout_);
  } else if (!requestPending_) {
    deadline_.Set(loop_.Now() + limits_.progressTimeout_);
  }
  requestPending_ = requestPending;
}

void
IncomingLink::OnRequest(const PeerEndpoint& aSender, const std::string& aBody)
{
  hasReceivedRequest_ = true;
  messageBudget_.Take(1, loop_.Now());
  PeerMessage message = DecodePeerMessage(aBody);
  ++counters_.messagesReceived_;
  RunContained(ErrorScope::PeerMessage,
               [&] { callbacks_.onMessage_(aSender, std::move(message), aBody.size()); });
}

void
IncomingLink::OnEnd(net::StreamEnd)
{
  Close();
}

void
IncomingLink::Close()
{
  stream_->Close();
  callbacks_.onClosed_();
}

} // namespace boragepier::peer
