#include <algorithm>
#include <utility>

#include "boragepier/peer/peer_link.h"

namespace boragepier::peer {

OutgoingLink::OutgoingLink(net::EventLoop& aLoop,
                           const PeerEndpoint& aPeer,
                           const PeerLimits& aLimits,
                           PeerCounters& aCounters,
                           Events aEvents)
  : loop_(aLoop)
  , peer_(aPeer)
  , limits_(aLimits)
  , counters_(aCounters)
  , events_(std::move(aEvents))
  , backOff_(aLimits.firstBackOff_)
  , progress_(aLoop, [this] { OnTimeout(); })
  , idle_(aLoop, [this] {
    Close();
    events_.unused_();
  })
{
}

OutgoingLink::~OutgoingLink()
{
  if (stream_) {
    stream_->Close();
  }
}

bool
OutgoingLink::Send(const PeerEndpoint& aSelf, std::string aBody)
{
  idle_.Set(loop_.Now() + limits_.idleTimeout_);
  if (!stream_ && loop_.Now() < retry_) {
    return false;
  }
  if (queuedBytes_ + aBody.size() > limits_.queuedBytes_ ||
      (session_ && session_->OpenStreams() >= limits_.queuedMessages_)) {
    return false;
  }
  if (!stream_) {
    Open();
  }
  if (session_->OpenStreams() == 0) {
    progress_.Set(loop_.Now() + limits_.timeout_);
  }
  queuedBytes_ += aBody.size();
  session_->Submit(aSelf, std::move(aBody));
  Flush();
  return true;
}

void
OutgoingLink::Open()
{
  connected_ = false;
  session_ = std::make_shared<Http2Session>(Http2Session::Client(
    [this](std::size_t aBytes, bool aAccepted) { OnResponse(aBytes, aAccepted); }));
  stream_ = net::TcpStream::Connect(loop_, peer_.address_, peer_.port_, *this);
}

void
OutgoingLink::Flush()
{
  if (!connected_) {
    return;
  }
  if (std::string output = session_->TakeOutput(); !output.empty()) {
    counters_.bytesSent_ += output.size();
    stream_->Write(std::move(output));
  }
}

void
OutgoingLink::OnConnected()
{
  connected_ = true;
  Flush();
}

void
OutgoingLink::OnInput(std::string_view aBytes)
{
  counters_.bytesReceived_ += aBytes.size();
  try {
    session_->Receive(aBytes);
  } catch (const PeerError&) {
    ++counters_.malformed_;
    Fail();
    return;
  }
  Flush();
  if (session_->Ended()) {
    OnEnd(net::StreamEnd::Closed);
  }
}

void
OutgoingLink::OnResponse(std::size_t aBytes, bool aAccepted)
{
  queuedBytes_ -= std::min(queuedBytes_, aBytes);
  if (!aAccepted) {
    ++counters_.dropped_;
    return;
  }
  backOff_ = limits_.firstBackOff_;
  if (session_->OpenStreams() == 0) {
    progress_.Clear();
  } else {
    progress_.Set(loop_.Now() + limits_.timeout_);
  }
}

void
OutgoingLink::OnTimeout()
{
  ++counters_.timeouts_;
  Fail();
}

void
OutgoingLink::OnEnd(net::StreamEnd)
{
  counters_.connectFailures_ += connected_ ? 0 : 1;
  if (!connected_ || session_->OpenStreams() > 0) {
    Fail();
  } else {
    Close(); // the peer has closed a connection that was not in use
  }
}

void
OutgoingLink::Fail()
{
  counters_.dropped_ += session_ ? session_->OpenStreams() : 0;
  Close();
  retry_ = loop_.Now() + backOff_;
  backOff_ = std::min(backOff_ * 2, limits_.maxBackOff_);
  events_.unreachable_();
}

void
OutgoingLink::Close()
{
  progress_.Clear();
  queuedBytes_ = 0;
  connected_ = false;
  if (stream_) {
    stream_->Close();
    loop_.DeferDestruction(std::exchange(stream_, nullptr));
    loop_.DeferDestruction(std::exchange(session_, nullptr));
  }
}

} // namespace boragepier::peer
