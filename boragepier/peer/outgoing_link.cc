#include <algorithm>
#include <utility>

#include "boragepier/base/internal_error.h"
#include "boragepier/peer/peer_link.h"

namespace boragepier::peer {

OutgoingLink::OutgoingLink(net::EventLoop& aLoop,
                           const PeerEndpoint& aPeer,
                           const PeerLimits& aLimits,
                           PeerCounters& aCounters,
                           Callbacks aCallbacks)
  : loop_(aLoop)
  , peer_(aPeer)
  , limits_(aLimits)
  , counters_(aCounters)
  , callbacks_(std::move(aCallbacks))
  , backoff_(aLimits.initialBackoff_)
  , progressDeadline_(aLoop, [this] { OnTimeout(); })
  , idleDeadline_(aLoop, [this] {
    Close();
    callbacks_.onIdle_();
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
  idleDeadline_.Set(loop_.Now() + limits_.idleTimeout_);
  if (!stream_ && loop_.Now() < nextConnectTime_) {
    return false;
  }
  if (pendingBytes_ + aBody.size() > limits_.maxPendingBytes_ ||
      (session_ && session_->OpenStreamCount() >= limits_.maxPendingMessages_)) {
    return false;
  }
  if (!stream_) {
    Connect();
  }
  if (session_->OpenStreamCount() == 0) {
    progressDeadline_.Set(loop_.Now() + limits_.progressTimeout_);
  }
  pendingBytes_ += aBody.size();
  session_->Submit(aSelf, std::move(aBody));
  Flush();
  return true;
}

void
OutgoingLink::Connect()
{
  connected_ = false;
  session_ = std::make_shared<Http2Session>(Http2Session::Client(
    [this](std::size_t aBodyBytes, bool aAccepted) { OnResponse(aBodyBytes, aAccepted); }));
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
  } catch (...) {
    ReportInternalError(ErrorScope::PeerMessage);
    Fail();
    return;
  }
  Flush();
  if (session_->Ended()) {
    OnEnd(net::StreamEnd::Closed);
  }
}

void
OutgoingLink::OnResponse(std::size_t aBodyBytes, bool aAccepted)
{
  pendingBytes_ -= std::min(pendingBytes_, aBodyBytes);
  if (!aAccepted) {
    ++counters_.dropped_;
    return;
  }
  backoff_ = limits_.initialBackoff_;
  if (session_->OpenStreamCount() == 0) {
    progressDeadline_.Clear();
  } else {
    progressDeadline_.Set(loop_.Now() + limits_.progressTimeout_);
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
  if (!connected_ || session_->OpenStreamCount() > 0) {
    Fail();
  } else {
    Close(); // the peer closed an idle connection
  }
}

void
OutgoingLink::Fail()
{
  counters_.dropped_ += session_ ? session_->OpenStreamCount() : 0;
  Close();
  nextConnectTime_ = loop_.Now() + backoff_;
  backoff_ = std::min(backoff_ * 2, limits_.maxBackoff_);
  callbacks_.onUnreachable_();
}

void
OutgoingLink::Close()
{
  progressDeadline_.Clear();
  pendingBytes_ = 0;
  connected_ = false;
  if (stream_) {
    stream_->Close();
    loop_.DeferDestruction(std::exchange(stream_, nullptr));
    loop_.DeferDestruction(std::exchange(session_, nullptr));
  }
}

} // namespace boragepier::peer
