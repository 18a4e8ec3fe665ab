#ifndef BORAGEPIER_PEER_PEER_CODEC_H
#define BORAGEPIER_PEER_PEER_CODEC_H

#include <string>
#include <string_view>

#include "boragepier/base/errors.h"
#include "boragepier/ports/peer_message.h"

namespace boragepier::peer {

/// Longest key, name or address in a message.
inline constexpr std::size_t kMaxPeerText = 512;
/// Longest body of a configuration in a message.
inline constexpr std::size_t kMaxPeerBody = std::size_t{ 32 } * 1024;

/// Longest value of a row of the store in a message.
inline constexpr std::size_t kMaxPeerRow = std::size_t{ 96 } * 1024;

/// Bytes that are not a valid message, or a message that exceeds a limit.
class PeerMessageError : public Error
{
public:
  using Error::Error;
};

/// Encodes a message as MessagePack: an array of the kind and of the fields in order.
/// @throws PeerMessageError if it exceeds a limit
std::string
EncodePeerMessage(const PeerMessage& aMessage);

/// @throws PeerMessageError if aBytes is not a message
PeerMessage
DecodePeerMessage(std::string_view aBytes);

} // namespace boragepier::peer

#endif
