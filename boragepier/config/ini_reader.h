#ifndef BORAGEPIER_CONFIG_INI_READER_H
#define BORAGEPIER_CONFIG_INI_READER_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace boragepier {

/// Largest accepted INI text, in bytes. Peers replicate configuration bodies of up to this size
/// (kMaxPeerConfigBytes).
inline constexpr std::size_t kMaxIniTextBytes = 32 << 10;
/// Longest accepted line of an INI text, in bytes. inih truncates lines that exceed its buffer
/// without an error.
inline constexpr std::size_t kMaxIniLineBytes = 4000;

/// One `key = value` line.
struct IniEntry
{
  std::string section_;
  std::string key_;
  std::string value_;
  int line_ = 0; ///< line number, from 1
};

/// Parses an INI text.
/// @param aText contents of the file
/// @param aFileName name used in errors
/// @param aSections names of the accepted sections
/// @return the entries in the order of the text; no key occurs twice in a section
/// @throws ConfigError for the first error: text or line too long, syntax error, unknown section or
/// repeated key
std::vector<IniEntry>
ParseIni(std::string_view aText,
         std::string_view aFileName,
         std::span<const std::string_view> aSections);

/// @param aText text from a file
/// @return the text in quotes, for use in messages: truncated, with control characters replaced by
/// "?"
std::string
Quoted(std::string_view aText);

} // namespace boragepier

#endif
