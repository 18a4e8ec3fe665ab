#include "boragepier/http/embedded_response.h"

#include <string.h>

#include <algorithm>
#include <cctype>

#include <boost/beast/core/string.hpp>

#include "boragepier/http/message_parser.h"

namespace boragepier::http {

namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::string_view kLineEnd = "\r\n";
// The version, a space, and a code of three digits.
constexpr std::size_t kStatusLineBytes = kVersionPrefix.size() + 5;

bool
IsDigit(char aCharacter)
{
  return std::isdigit(static_cast<unsigned char>(aCharacter)) != 0;
}

// Whether the text is a status line up to its code, or the beginning of one.
bool
MayBeginStatusLine(std::string_view aText)
{
  const std::size_t size = std::min(aText.size(), kStatusLineBytes);
  for (std::size_t i = 0; i < size; ++i) {
    const bool matches = i < kVersionPrefix.size()        ? aText[i] == kVersionPrefix[i]
                         : i == kVersionPrefix.size() + 1 ? aText[i] == ' '
                                                          : IsDigit(aText[i]);
    if (!matches) {
      return false;
    }
  }
  return true;
}

std::size_t
FindVersion(std::string_view aText, std::size_t aFrom)
{
  const std::string_view rest = aText.substr(std::min(aFrom, aText.size()));
  // Unlike std::string_view::find(), fast also for a body with many an 'H'.
  const void* const found =
    ::memmem(rest.data(), rest.size(), kVersionPrefix.data(), kVersionPrefix.size());
  return found == nullptr
           ? std::string_view::npos
           : static_cast<std::size_t>(static_cast<const char*>(found) - aText.data());
}

// Whether the text begins with a status line.
bool
BeginsWithStatusLine(std::string_view aText)
{
  if (aText.size() < kStatusLineBytes || !MayBeginStatusLine(aText)) {
    return false;
  }
  const std::string_view rest = aText.substr(kStatusLineBytes);
  return rest.empty() || rest.front() == ' ' || rest.front() == '\r';
}

} // namespace

std::size_t
FindStatusLine(std::string_view aText, std::size_t aFrom)
{
  std::size_t position = FindVersion(aText, aFrom);
  while (position != std::string_view::npos && !BeginsWithStatusLine(aText.substr(position))) {
    position = FindVersion(aText, position + 1);
  }
  return position;
}

bool
EmbeddedResponseFinder::Update(std::string_view aBody)
{
  for (;;) {
    if (!inHeader_ && !FindHeader(aBody)) {
      return false;
    }
    const std::size_t lineEnd = aBody.find(kLineEnd, examined_);
    const std::string_view line =
      aBody.substr(lineStart_, lineEnd == std::string_view::npos ? lineEnd : lineEnd - lineStart_);
    if (IsRequestIdField(line)) {
      return true;
    }
    if (lineEnd == std::string_view::npos) {
      examined_ = std::max(lineStart_, aBody.size() - 1); // the body may end inside the line end
      return false;
    }
    if (BeginsWithStatusLine(line) || line.find(':') != std::string_view::npos) {
      lineStart_ = lineEnd + kLineEnd.size();
      examined_ = lineStart_;
    } else {
      inHeader_ = false; // the end of the header, or a line of another text
      examined_ = lineStart_;
    }
  }
}

// Moves on to the next status line.
bool
EmbeddedResponseFinder::FindHeader(std::string_view aBody)
{
  const std::size_t position = FindStatusLine(aBody, examined_);
  if (position == std::string_view::npos) {
    // A status line that is cut off at the end of the body so far begins behind this position.
    examined_ = std::max(examined_, aBody.size() - std::min(aBody.size(), kStatusLineBytes - 1));
    return false;
  }
  hasStatusLine_ = true;
  inHeader_ = true;
  lineStart_ = position;
  examined_ = position;
  return true;
}

bool
EmbeddedResponseFinder::IsRequestIdField(std::string_view aLine) const
{
  const std::size_t size = requestIdField_.size();
  return size > 0 && aLine.size() > size && aLine[size] == ':' &&
         beast::iequals(ToBeast(aLine.substr(0, size)), ToBeast(requestIdField_));
}

bool
EmbeddedResponseFinder::ContinuesAfter(std::string_view aBody, std::string_view aUnread) const
{
  if (aUnread.empty() || MayBeginStatusLine(aUnread)) {
    return false;
  }
  // The end of the body may lie inside the status line.
  std::string_view end = aBody.substr(aBody.size() - std::min(aBody.size(), kStatusLineBytes - 1));
  const std::string_view unreadBegin = aUnread.substr(0, kStatusLineBytes);
  for (; !hasStatusLine_ && !end.empty(); end.remove_prefix(1)) {
    if (MayBeginStatusLine(std::string(end).append(unreadBegin))) {
      return true;
    }
  }
  return hasStatusLine_;
}

} // namespace boragepier::http
