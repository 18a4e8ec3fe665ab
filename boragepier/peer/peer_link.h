#ifndef BORAGEPIER_PEER_PEER_LINK_H
#define BORAGEPIER_PEER_PEER_LINK_H

#include <functional>
#include <memory>
#include <string>

#include "boragepier/base/token_bucket.h"
#include "boragepier/net/deadline_timer.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/net/tcp_stream.h"
#include "boragepier/peer/http2_session.h"
#include "boragepier/ports/peer_transport.h"

namespace boragepier::peer {

/// Limits and timeouts of the connections between instances.
struct PeerLimits
{
  std::size_t maxPendingMessages_ = 32; ///< of one link: queued or sent, without a response yet
  std::size_t maxPendingBytes_ = std::size_t{ 96 } * 1024; ///< size of these messages
  std::size_t maxIncomingConnections_ = 1024;              ///< further ones are closed at once
  std::size_t maxOutgoingConnections_ = 1024; ///< messages to further peers are dropped
  /// Of one connection. A peer that sends more bytes or messages is disconnected. An instance sends
  /// 7 KB per second to all its peers together.
  double maxReceivedBytesPerSecond_ = 64.0 * 1024;
  double maxReceivedMessagesPerSecond_ = 100;
  /// Limit for connecting, for the next response, and for receiving a whole request.
  Duration progressTimeout_ = std::chrono::seconds(3);
  Duration idleTimeout_ = std::chrono::minutes(5); ///< an unused connection is then closed
  /// Delay before connecting again after a failure. It doubles with each further failure.
  Duration initialBackoff_ = std::chrono::milliseconds(50);
  Duration maxBackoff_ = std::chrono::seconds(10);
};

/// Sends messages to one peer. Connects for the first message, and again for the first message
/// after the connection was closed or, with exponential backoff, has failed.
class OutgoingLink : private net::StreamHandler
{
public:
  struct Callbacks
  {
    std::function<void()> onUnreachable_; ///< connecting failed, or messages were lost
    std::function<void()> onIdle_; ///< no message for idleTimeout_; the owner may destroy the link
  };

  OutgoingLink(net::EventLoop& aLoop,
               const PeerEndpoint& aPeer,
               const PeerLimits& aLimits,
               PeerCounters& aCounters,
               Callbacks aCallbacks);
  ~OutgoingLink() override;

  /// Queues a message.
  /// @param aSelf this instance, as the sender of the message
  /// @param aBody the encoded message
  /// @return false if the message was dropped, because the queue is full or the link backs off
  bool Send(const PeerEndpoint& aSelf, std::string aBody);
  void SetPeerId(const InstanceId& aId) { peer_.id_ = aId; }
  const PeerEndpoint& Peer() const { return peer_; }

private:
  void OnConnected() override;
  void OnInput(std::string_view aBytes) override;
  void OnEnd(net::StreamEnd aEnd) override;
  void OnResponse(std::size_t aBodyBytes, bool aAccepted);
  void OnTimeout();
  void Connect();
  void Flush();
  void Fail();
  void Close();

  net::EventLoop& loop_;
  PeerEndpoint peer_;
  const PeerLimits& limits_;
  PeerCounters& counters_;
  Callbacks callbacks_;
  std::shared_ptr<net::TcpStream> stream_;
  std::shared_ptr<Http2Session> session_;
  bool connected_ = false;
  std::size_t pendingBytes_ = 0;        ///< size of the messages without a response
  Duration backoff_;                    ///< after the next failure
  MonotonicTime nextConnectTime_{};     ///< earliest time of the next connection
  net::DeadlineTimer progressDeadline_; ///< for connecting or the next response
  net::DeadlineTimer idleDeadline_;
};

/// One connection from a peer, which receives messages.
class IncomingLink : private net::StreamHandler
{
public:
  struct Callbacks
  {
    PeerMessageCallback onMessage_;
    std::function<void()> onClosed_; ///< the connection is closed; the owner may destroy the link
  };

  IncomingLink(net::EventLoop& aLoop,
               std::shared_ptr<net::TcpStream> aStream,
               const PeerLimits& aLimits,
               PeerCounters& aCounters,
               Callbacks aCallbacks);
  ~IncomingLink() override;

private:
  void OnInput(std::string_view aBytes) override;
  void OnEnd(net::StreamEnd aEnd) override;
  void OnRequest(const PeerEndpoint& aSender, const std::string& aBody);
  void ProcessInput(std::string_view aBytes);
  void Close();

  net::EventLoop& loop_;
  const PeerLimits& limits_;
  PeerCounters& counters_;
  Callbacks callbacks_;
  std::shared_ptr<net::TcpStream> stream_;
  Http2Session session_;
  TokenBucket byteBudget_;
  TokenBucket messageBudget_;
  bool hasReceivedRequest_ = false;
  bool requestPending_ = true;    ///< a request is incomplete, or none has arrived yet
  std::uint64_t outputBytes_ = 0; ///< handed to stream_
  net::DeadlineTimer deadline_;   ///< for the pending request, or of an idle connection
};

} // namespace boragepier::peer

#endif
