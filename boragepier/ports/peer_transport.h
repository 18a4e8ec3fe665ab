#ifndef BORAGEPIER_PORTS_PEER_TRANSPORT_H
#define BORAGEPIER_PORTS_PEER_TRANSPORT_H

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "boragepier/ports/peer_message.h"

namespace boragepier {

/// Counters of a transport since its start.
struct PeerCounters
{
  std::uint64_t messagesSent_ = 0;
  std::uint64_t messagesReceived_ = 0;
  std::uint64_t bytesSent_ = 0;     ///< on the connections, with framing
  std::uint64_t bytesReceived_ = 0; ///< on the connections, with framing
  std::uint64_t dropped_ = 0;       ///< messages that did not fit a queue or limit, or were lost
                                    ///< with a connection
  std::uint64_t malformed_ = 0;     ///< peers disconnected for input that cannot be decoded
  std::uint64_t otherVersion_ = 0;  ///< peers disconnected for another protocol version
  std::uint64_t oversized_ = 0;     ///< peers disconnected for a message over kMaxPeerMessageBytes
  std::uint64_t flooded_ = 0;       ///< peers disconnected for exceeding a rate limit, or for not
                                    ///< reading responses
  std::uint64_t timeouts_ = 0;      ///< connections closed because an operation timed out
  std::uint64_t connectFailures_ = 0;
};

/// Runs for each message that arrives.
/// @param aSender the peer and its listening address
/// @param aBytes size of the encoded message
using PeerMessageCallback =
  std::function<void(const PeerEndpoint& aSender, PeerMessage aMessage, std::size_t aBytes)>;
/// Runs when connecting to a peer failed or its connection broke.
using PeerUnreachableCallback = std::function<void(const InstanceId& aPeer)>;

/// Sends messages between instances. Delivery is at most once and unordered, so the protocol must
/// tolerate lost messages. All functions and callbacks run in the control thread. Callbacks never
/// run inside Send().
template<typename T>
concept PeerTransport = requires(T& aTransport,
                                 const PeerEndpoint& aPeer,
                                 const PeerMessage& aMessage,
                                 PeerMessageCallback aOnMessage,
                                 PeerUnreachableCallback aOnUnreachable)
{
  // Returns the size of the encoded message, or 0 if it was dropped.
  {
    aTransport.Send(aPeer, aMessage)
    } -> std::same_as<std::size_t>;
  // To be called before the first Send(). aPeer is the endpoint of this instance, as other
  // instances connect to it.
  aTransport.Start(aPeer, std::move(aOnMessage), std::move(aOnUnreachable));
  {
    aTransport.Counters()
    } -> std::convertible_to<PeerCounters>;
};

} // namespace boragepier

#endif
