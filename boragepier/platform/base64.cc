#include "boragepier/platform/base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace boragepier::platform {

namespace {

namespace iterators = boost::archive::iterators;
using Encoder =
  iterators::base64_from_binary<iterators::transform_width<std::string_view::const_iterator, 6, 8>>;
using Decoder =
  iterators::transform_width<iterators::binary_from_base64<std::string_view::const_iterator>, 8, 6>;

} // namespace

std::string
EncodeBase64(std::string_view aBytes)
{
  std::string text(Encoder(aBytes.begin()), Encoder(aBytes.end()));
  text.append((3 - aBytes.size() % 3) % 3, '=');
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  std::string_view unpadded = aText;
  for (int padding = 0; padding < 2 && unpadded.ends_with('='); ++padding) {
    unpadded.remove_suffix(1);
  }
  try {
    // Counts whole bytes: the iterator would otherwise turn the remaining bits into another byte.
    std::string bytes;
    Decoder decoder(unpadded.begin());
    for (std::size_t remaining = unpadded.size() * 6 / 8; remaining > 0; --remaining) {
      bytes.push_back(*decoder++);
    }
    if (EncodeBase64(bytes) == aText) {
      return bytes;
    }
  } catch (const iterators::dataflow_exception&) {
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace boragepier::platform
