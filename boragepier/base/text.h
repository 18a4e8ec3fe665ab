#ifndef BORAGEPIER_BASE_TEXT_H
#define BORAGEPIER_BASE_TEXT_H

#include <algorithm>
#include <string_view>

namespace boragepier {

/// @return whether all characters are visible ASCII; true for empty text
inline bool
IsVisibleAscii(std::string_view aText)
{
  return std::all_of(
    aText.begin(), aText.end(), [](char aChar) { return aChar > ' ' && aChar < '\x7f'; });
}

} // namespace boragepier

#endif
