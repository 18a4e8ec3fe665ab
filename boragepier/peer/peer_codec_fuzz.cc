// Fuzz target for the codec of messages between instances, built with libFuzzer by CMakeLists.txt.
// Any input is either rejected with PeerMessageError, or its message stays the same when it is
// encoded and decoded again.

#include <cstdint>
#include <cstdlib>

#include "boragepier/peer/peer_codec.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aSize);

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aSize)
{
  using namespace boragepier::peer;
  try {
    const std::string_view bytes(reinterpret_cast<const char*>(aBytes), aSize);
    const std::string encoded = EncodePeerMessage(DecodePeerMessage(bytes));
    if (EncodePeerMessage(DecodePeerMessage(encoded)) != encoded) {
      std::abort();
    }
  } catch (const PeerMessageError&) {
    return 0;
  }
  return 0;
}
