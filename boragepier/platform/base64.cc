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
  std::string_view digits = aText;
  for (int padding = 0; padding < 2 && digits.ends_with('='); ++padding) {
    digits.remove_suffix(1);
  }
  try {
    // Whole bytes only: the decoder would make a further one of the bits that are left over.
    std::string bytes;
    Decoder next(digits.begin());
    for (std::size_t count = digits.size() * 6 / 8; count > 0; --count) {
      bytes.push_back(*next++);
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
