#ifndef BORAGEPIER_PEER_HTTP2_SESSION_H
#define BORAGEPIER_PEER_HTTP2_SESSION_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "boragepier/base/errors.h"
#include "boragepier/ports/peer_message.h"

namespace boragepier::peer {

/// Thrown when a peer must be disconnected. The derived types tell the reason.
class PeerError : public Error
{
public:
  using Error::Error;
};
/// The peer violates HTTP/2 or the rules for requests and responses between instances.
class PeerProtocolError : public PeerError
{
public:
  using PeerError::PeerError;
};
/// The peer uses another version of the protocol.
class PeerVersionError : public PeerError
{
public:
  using PeerError::PeerError;
};
/// The peer sent a message larger than kMaxPeerMessageBytes.
class PeerMessageTooLargeError : public PeerError
{
public:
  using PeerError::PeerError;
};

/// The HTTP/2 protocol of one connection between instances, by nghttp2. It turns received bytes
/// into events and requests into bytes to send; the owner does the I/O. The client sends each
/// message as a request, and the server responds to it with status 204.
class Http2Session
{
public:
  enum class Role : std::uint8_t
  {
    Client,
    Server
  };

  /// Runs on the server for each complete request, inside Receive(). Its exceptions reach the
  /// caller of Receive().
  /// @param aSender the instance that the request names as its sender
  /// @param aBody the encoded message
  using RequestCallback =
    std::function<void(const PeerEndpoint& aSender, const std::string& aBody)>;
  /// Runs on the client when a request has ended.
  /// @param aBodyBytes size of the body of the request
  /// @param aAccepted whether the peer responded with 204
  using ResponseCallback = std::function<void(std::size_t aBodyBytes, bool aAccepted)>;

  static Http2Session Client(ResponseCallback aOnResponse);
  static Http2Session Server(RequestCallback aOnRequest);
  Http2Session(Http2Session&& aOther) noexcept;
  ~Http2Session();

  /// Processes bytes from the peer.
  /// @throws PeerError if the peer must be disconnected; on the server also what the request
  /// callback
  ///   throws
  void Receive(std::string_view aBytes);
  /// @return bytes that must be sent to the peer now; empty if there are none
  std::string TakeOutput();

  /// Queues a request; only for a client. TakeOutput() returns its bytes.
  /// @param aSelf this instance, as the sender of the message
  /// @param aBody the encoded message
  /// @param aVersion version of the protocol, sent in a header field
  void Submit(const PeerEndpoint& aSelf,
              std::string aBody,
              unsigned aVersion = kPeerProtocolVersion);

  /// @return number of requests that are not complete or have no complete response yet
  std::size_t OpenStreamCount() const;
  /// @return whether the peer, or a violation of the protocol, has ended the session
  bool Ended() const;

private:
  class Impl;
  explicit Http2Session(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl_;
};

} // namespace boragepier::peer

#endif
