#ifndef BORAGEPIER_PEER_HTTP2_TRANSPORT_H
#define BORAGEPIER_PEER_HTTP2_TRANSPORT_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "boragepier/net/event_loop.h"
#include "boragepier/net/tcp_listener.h"
#include "boragepier/peer/peer_link.h"
#include "boragepier/ports/peer_transport.h"

namespace boragepier::peer {

/// Exchanges messages with other instances over HTTP/2; each message is a request. Two instances
/// have one connection for each direction. Satisfies PeerTransport. Used in the loop thread only,
/// or before the loop runs.
class Http2Transport
{
public:
  /// @param aLoop outlives this object
  explicit Http2Transport(net::EventLoop& aLoop, PeerLimits aLimits = {});
  ~Http2Transport();
  Http2Transport(const Http2Transport&) = delete;
  Http2Transport& operator=(const Http2Transport&) = delete;

  /// Listens for connections of other instances. Those that arrive before Start() are closed.
  /// @param aAddress IP address
  /// @param aPort TCP port; 0 lets the operating system choose one
  /// @return the port listened on
  /// @throws net::ListenError if the address cannot be used
  std::uint16_t Listen(const std::string& aAddress, std::uint16_t aPort);

  /// Start(), Send() and Counters() are described at PeerTransport.
  void Start(const PeerEndpoint& aSelf,
             PeerMessageCallback aOnMessage,
             PeerUnreachableCallback aOnUnreachable);
  std::size_t Send(const PeerEndpoint& aPeer, const PeerMessage& aMessage);
  PeerCounters Counters() const { return counters_; }

private:
  void Accept(std::shared_ptr<net::TcpStream> aStream);
  OutgoingLink* FindOrCreateLink(const PeerEndpoint& aPeer);

  using SocketAddress = std::pair<std::string, std::uint16_t>;

  net::EventLoop& loop_;
  const PeerLimits limits_;
  PeerCounters counters_;
  PeerEndpoint self_;
  PeerMessageCallback onMessage_;
  PeerUnreachableCallback onUnreachable_;
  std::unique_ptr<net::TcpListener> listener_;
  std::map<SocketAddress, std::shared_ptr<OutgoingLink>> outgoingLinks_;
  std::map<std::uint64_t, std::shared_ptr<IncomingLink>> incomingLinks_;
  std::uint64_t lastIncomingKey_ = 0;
};

} // namespace boragepier::peer

#endif
