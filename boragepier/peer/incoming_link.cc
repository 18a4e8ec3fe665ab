#include <utility>

#include "boragepier/peer/peer_codec.h"
#include "boragepier/peer/peer_link.h"

namespace boragepier::peer {

namespace {

// Answers that a peer has not read. More means that it sends without reading.
constexpr std::uint64_t kMaxUnreadOutput = std::uint64_t{ 16 } * 1024;

} // namespace

IncomingLink::IncomingLink(net::EventLoop& aLoop,
                           std::shared_ptr<net::TcpStream> aStream,
                           const PeerLimits& aLimits,
                           PeerCounters& aCounters,
                           Events aEvents)
  : loop_(aLoop)
  , limits_(aLimits)
  , counters_(aCounters)
  , events_(std::move(aEvents))
  , stream_(std::move(aStream))
  , session_(Http2Session::Server(
      [this](const PeerEndpoint& aSender, const std::string& aBody) { OnRequest(aSender, aBody); }))
  , bytes_(aLimits.receivedBytesPerSecond_)
  , messages_(aLimits.receivedMessagesPerSecond_)
  , deadline_(aLoop, [this] {
    counters_.timeouts_ += waiting_ ? 1 : 0;
    Close();
  })
{
  stream_->Start(*this);
  deadline_.Set(loop_.Now() + limits_.timeout_);
}

IncomingLink::~IncomingLink()
{
  stream_->Close();
}

void
IncomingLink::OnInput(std::string_view aBytes)
{
  counters_.bytesReceived_ += aBytes.size();
  bytes_.Take(aBytes.size(), loop_.Now());
  try {
    Feed(aBytes);
  } catch (const PeerOtherVersion&) {
    ++counters_.otherVersion_;
    Close();
  } catch (const PeerOversized&) {
    ++counters_.oversized_;
    Close();
  } catch (const Error&) { // PeerMalformed or PeerMessageError
    ++counters_.malformed_;
    Close();
  }
}

void
IncomingLink::Feed(std::string_view aBytes)
{
  session_.Receive(aBytes);
  if (std::string output = session_.TakeOutput(); !output.empty()) {
    counters_.bytesSent_ += output.size();
    written_ += output.size();
    stream_->Write(std::move(output));
  }
  const bool unread = written_ - stream_->BytesWritten() > kMaxUnreadOutput;
  if (!bytes_.HasTokens(loop_.Now()) || !messages_.HasTokens(loop_.Now()) || unread) {
    ++counters_.flooded_;
    Close();
    return;
  }
  if (session_.Ended()) {
    Close();
    return;
  }
  // The time for a whole request starts with its first byte: a peer that sends a byte now and then
  // does not keep the connection.
  const bool waiting = session_.OpenStreams() > 0;
  if (!waiting && !served_) {
    return;
  }
  if (!waiting) {
    deadline_.Set(loop_.Now() + limits_.idleTimeout_);
  } else if (!waiting_) {
    deadline_.Set(loop_.Now() + limits_.timeout_);
  }
  waiting_ = waiting;
}

void
IncomingLink::OnRequest(const PeerEndpoint& aSender, const std::string& aBody)
{
  served_ = true;
  messages_.Take(1, loop_.Now());
  PeerMessage message = DecodePeerMessage(aBody);
  ++counters_.messagesReceived_;
  events_.message_(aSender, std::move(message), aBody.size());
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
  events_.closed_();
}

} // namespace boragepier::peer
