#ifndef BORAGEPIER_CONFIG_INI_TEXT_H
#define BORAGEPIER_CONFIG_INI_TEXT_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace boragepier {

/// Longest text that is read as INI, in bytes. Peers pass on bodies of up to this size
/// (kMaxPeerConfigBytes).
inline constexpr std::size_t kMaxIniText = 32 << 10;
/// Longest line of an INI text, in bytes. inih cuts longer lines without an error.
inline constexpr std::size_t kMaxIniLine = 4000;

/// One `key = value` line.
struct IniEntry
{
  std::string section_;
  std::string key_;
  std::string value_;
  int line_ = 0;
};

/// Reads an INI text into its entries.
/// @param aText the text
/// @param aFileName name used in errors
/// @param aSections the sections that may occur
/// @return the entries in order of the file, each section and key at most once
/// @throws ConfigError for a text, line or section that cannot be accepted, or a repeated key
std::vector<IniEntry>
ReadIni(std::string_view aText,
        std::string_view aFileName,
        std::span<const std::string_view> aSections);

/// @param aText text from a file
/// @return the text in quotes, shortened and without control characters, for use in messages
std::string
Quoted(std::string_view aText);

} // namespace boragepier

#endif
