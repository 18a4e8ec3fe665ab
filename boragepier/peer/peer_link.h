#ifndef BORAGEPIER_PEER_PEER_LINK_H
#define BORAGEPIER_PEER_PEER_LINK_H

#include <functional>
#include <memory>
#include <string>

#include "boragepier/base/rate_budget.h"
#include "boragepier/net/deadline_timer.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/net/tcp_stream.h"
#include "boragepier/peer/http2_session.h"
#include "boragepier/ports/peer_transport.h"

namespace boragepier::peer {

/// Bounds of the connections between instances.
struct PeerLimits
{
  std::size_t queuedMessages_ = 32; ///< of one connection, sent but not answered
  std::size_t queuedBytes_ = std::size_t{ 96 } * 1024;
  std::size_t incomingConnections_ = 1024; ///< more are closed at once
  std::size_t outgoingConnections_ = 1024; ///< messages to further peers are dropped
  /// Of one peer. An instance sends 7 KB per second to all its peers together.
  double receivedBytesPerSecond_ = 64.0 * 1024;
  double receivedMessagesPerSecond_ = 100;
  Duration timeout_ = std::chrono::seconds(3); ///< to connect, or for an answer or a whole request
  Duration idleTimeout_ = std::chrono::minutes(5);         ///< of an unused connection
  Duration firstBackOff_ = std::chrono::milliseconds(200); ///< doubles with each failure
  Duration maxBackOff_ = std::chrono::seconds(10);
};

/// Connection to a peer, opened when there is something to send and again after a failure.
class OutgoingLink : private net::StreamHandler
{
public:
  struct Events
  {
    std::function<void()> unreachable_; ///< messages were lost, or connecting failed
    std::function<void()> unused_;      ///< the link can be given up
  };

  OutgoingLink(net::EventLoop& aLoop,
               const PeerEndpoint& aPeer,
               const PeerLimits& aLimits,
               PeerCounters& aCounters,
               Events aEvents);
  ~OutgoingLink() override;

  /// @return whether the message was queued
  bool Send(const PeerEndpoint& aSelf, std::string aBody);
  void SetPeerId(const InstanceId& aId) { peer_.id_ = aId; }
  const PeerEndpoint& Peer() const { return peer_; }

private:
  void OnConnected() override;
  void OnInput(std::string_view aBytes) override;
  void OnEnd(net::StreamEnd aEnd) override;
  void OnResponse(std::size_t aBytes, bool aAccepted);
  void OnTimeout();
  void Open();
  void Flush();
  void Fail();
  void Close();

  net::EventLoop& loop_;
  PeerEndpoint peer_;
  const PeerLimits& limits_;
  PeerCounters& counters_;
  Events events_;
  std::shared_ptr<net::TcpStream> stream_;
  std::shared_ptr<Http2Session> session_;
  bool connected_ = false;
  std::size_t queuedBytes_ = 0;
  Duration backOff_;
  MonotonicTime retry_{};
  net::DeadlineTimer progress_;
  net::DeadlineTimer idle_;
};

/// Connection from a peer.
class IncomingLink : private net::StreamHandler
{
public:
  struct Events
  {
    PeerMessageCallback message_;
    std::function<void()> closed_; ///< the link can be given up
  };

  IncomingLink(net::EventLoop& aLoop,
               std::shared_ptr<net::TcpStream> aStream,
               const PeerLimits& aLimits,
               PeerCounters& aCounters,
               Events aEvents);
  ~IncomingLink() override;

private:
  void OnInput(std::string_view aBytes) override;
  void OnEnd(net::StreamEnd aEnd) override;
  void OnRequest(const PeerEndpoint& aSender, const std::string& aBody);
  void Feed(std::string_view aBytes);
  void Close();

  net::EventLoop& loop_;
  const PeerLimits& limits_;
  PeerCounters& counters_;
  Events events_;
  std::shared_ptr<net::TcpStream> stream_;
  Http2Session session_;
  RateBudget bytes_;
  RateBudget messages_;
  bool served_ = false; ///< a request was received
  bool waiting_ = true; ///< for the rest of a request, or for the first one
  std::uint64_t written_ = 0;
  net::DeadlineTimer deadline_;
};

} // namespace boragepier::peer

#endif
