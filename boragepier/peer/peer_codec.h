#ifndef BORAGEPIER_PEER_PEER_CODEC_H
#define BORAGEPIER_PEER_PEER_CODEC_H

#include <string>
#include <string_view>

#include "boragepier/base/errors.h"
#include "boragepier/ports/peer_message.h"

namespace boragepier::peer {

/// Largest size of a key, name or address in a message.
inline constexpr std::size_t kMaxPeerTextBytes = 512;
/// Largest size of the body of one configuration in a message.
inline constexpr std::size_t kMaxPeerConfigBytes = std::size_t{ 32 } * 1024;

/// Largest size of the value of one row of the store in a message.
inline constexpr std::size_t kMaxPeerRowBytes = std::size_t{ 1024 } * 1024;

/// Thrown for bytes that are not a valid message, and for a message that exceeds a limit.
class PeerMessageError : public Error
{
public:
  using Error::Error;
};

/// Encodes a message as MessagePack: an array of two, the index of the alternative in PeerMessage
/// and an array of its fields in order.
/// @throws PeerMessageError if the message exceeds a limit
std::string
EncodePeerMessage(const PeerMessage& aMessage);

/// @throws PeerMessageError if aBytes is not exactly one valid message, or if it exceeds a limit
PeerMessage
DecodePeerMessage(std::string_view aBytes);

} // namespace boragepier::peer

#endif
