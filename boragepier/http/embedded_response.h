#ifndef BORAGEPIER_HTTP_EMBEDDED_RESPONSE_H
#define BORAGEPIER_HTTP_EMBEDDED_RESPONSE_H

#include <cstddef>
#include <string>
#include <string_view>

namespace boragepier::http {

/// Searches for the status line of an HTTP/1 response, such as "HTTP/1.1 200 OK".
/// @param aFrom position at which the search begins
/// @return position of the first status line that is complete up to its code, or npos
std::size_t
FindStatusLine(std::string_view aText, std::size_t aFrom = 0);

/// Finds another response inside the body of a response. When a peer breaks a response off and
/// sends another one later on the same connection, the second one fills up the body of the first.
/// The body may arrive in pieces; each byte is examined a bounded number of times.
///
/// A status line alone is not enough, because a body may quote one. The other response is certain
/// if its header names a request, or if it goes on after the end of the body.
class EmbeddedResponseFinder
{
public:
  /// @param aRequestIdField header field in which a response names its request; if empty, only
  ///   ContinuesAfter() tells
  explicit EmbeddedResponseFinder(std::string_view aRequestIdField)
    : requestIdField_(aRequestIdField)
  {
  }

  /// Examines the bytes that were added to the body since the last call.
  /// @param aBody the body so far; it begins with the bytes of the last call
  /// @return true if it holds a response that names a request
  bool Update(std::string_view aBody);

  /// Call after Update() with the whole body.
  /// @param aBody the whole body
  /// @param aUnread bytes that have arrived after the body
  /// @return true if aUnread is the rest of a response that begins inside the body. False if there
  ///   is none, or if aUnread begins a response of its own.
  bool ContinuesAfter(std::string_view aBody, std::string_view aUnread) const;

private:
  bool FindHeader(std::string_view aBody);
  bool IsRequestIdField(std::string_view aLine) const;

  std::string requestIdField_;
  std::size_t examined_ = 0;   ///< bytes in which the search does not begin again
  std::size_t lineStart_ = 0;  ///< of the header line being read
  bool inHeader_ = false;      ///< after a status line, up to the end of its header
  bool hasStatusLine_ = false; ///< in the bytes examined
};

} // namespace boragepier::http

#endif
