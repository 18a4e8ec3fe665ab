#ifndef BORAGEPIER_HTTP_MESSAGE_H
#define BORAGEPIER_HTTP_MESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/http/body.h"

namespace boragepier::http {

/// Header fields in the order in which they were added. Field names are case-insensitive.
class Headers
{
public:
  struct Field
  {
    std::string name_;
    std::string value_;
  };

  /// @return the value of the first field with that name; valid until the fields change
  std::optional<std::string_view> Get(std::string_view aName) const;
  /// Adds a field at the end, also if there are others with that name.
  void Add(std::string_view aName, std::string_view aValue);
  /// Replaces all fields with that name by one at the end.
  void Set(std::string_view aName, std::string_view aValue);
  /// Removes all fields with that name.
  void Remove(std::string_view aName);

  auto begin() const { return fields_.begin(); }
  auto end() const { return fields_.end(); }

private:
  std::vector<Field> fields_;
};

/// A complete request. It holds no framing fields (Content-Length, Transfer-Encoding, Connection):
/// they are removed on reading and generated on writing.
struct Request
{
  std::string method_;
  std::string target_; ///< path and query
  Headers headers_;
  Body body_;
};

/// A complete response. It holds no framing fields, as in Request.
struct Response
{
  int status_ = 0;
  Headers headers_;
  Body body_;
};

/// Removes hop-by-hop fields (Connection and the fields that it lists, Keep-Alive, Proxy-*, TE,
/// Trailer, Transfer-Encoding, Upgrade) and Content-Length.
void
RemoveHopByHopFields(Headers& aHeaders);

} // namespace boragepier::http

#endif
