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

/// A peer that must be disconnected. Each reason is a type of its own.
class PeerError : public Error
{
public:
  using Error::Error;
};
/// The peer violates HTTP/2, lacks a header, or sent a body that is no message.
class PeerMalformed : public PeerError
{
public:
  using PeerError::PeerError;
};
/// The peer speaks another version of the protocol.
class PeerOtherVersion : public PeerError
{
public:
  using PeerError::PeerError;
};
/// The peer sent a body larger than kMaxPeerMessageBytes.
class PeerOversized : public PeerError
{
public:
  using PeerError::PeerError;
};

/// One HTTP/2 connection with nghttp2 as a codec: bytes in, bytes out, no I/O. A client sends
/// messages as requests; a server receives them and answers each with 204.
class Http2Session
{
public:
  enum class Role : std::uint8_t
  {
    Client,
    Server
  };

  /// Requests of a server. May throw PeerError; Receive() then throws it.
  using RequestCallback =
    std::function<void(const PeerEndpoint& aSender, const std::string& aBody)>;
  /// Ends of a client's requests.
  /// @param aBytes size of the request's body
  /// @param aAccepted whether the peer answered with 204
  using ResponseCallback = std::function<void(std::size_t aBytes, bool aAccepted)>;

  static Http2Session Client(ResponseCallback aOnResponse);
  static Http2Session Server(RequestCallback aOnRequest);
  Http2Session(Http2Session&& aOther) noexcept;
  ~Http2Session();

  /// Feeds bytes from the peer.
  /// @throws PeerError if the peer must be disconnected
  void Receive(std::string_view aBytes);
  /// @return bytes to send to the peer
  std::string TakeOutput();

  /// Queues a request of a client.
  /// @param aSelf the sender of the message
  /// @param aBody the encoded message
  /// @param aVersion version of the protocol
  void Submit(const PeerEndpoint& aSelf,
              std::string aBody,
              unsigned aVersion = kPeerProtocolVersion);

  /// @return requests that are not completely received or not answered
  std::size_t OpenStreams() const;
  /// @return whether the peer or a violation has ended the session
  bool Ended() const;

private:
  class Impl;
  explicit Http2Session(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl_;
};

} // namespace boragepier::peer

#endif
