// Fuzz target of the codec of messages between instances. Built with clang's fuzzer, see
// CMakeLists.txt. A message either is refused with PeerMessageError or survives encoding.

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
