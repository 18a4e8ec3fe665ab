#ifndef BORAGEPIER_HTTP_MESSAGE_H
#define BORAGEPIER_HTTP_MESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragepier::http {

/// Header fields in order of arrival. Names compare without regard to case.
class Headers
{
public:
  struct Field
  {
    std::string name_;
    std::string value_;
  };

  /// @return the value of the first field of that name
  std::optional<std::string_view> Get(std::string_view aName) const;
  void Add(std::string_view aName, std::string_view aValue);
  /// Replaces all fields of that name by one.
  void Set(std::string_view aName, std::string_view aValue);
  void Remove(std::string_view aName);

  auto begin() const { return fields_.begin(); }
  auto end() const { return fields_.end(); }

private:
  std::vector<Field> fields_;
};

/// A complete request. Framing fields (Content-Length, Transfer-Encoding, Connection) are not kept:
/// the connection on which it is sent writes its own.
struct Request
{
  std::string method_;
  std::string target_; ///< path and query
  Headers headers_;
  std::string body_;
};

/// A complete response. Framing fields are not kept, as in Request.
struct Response
{
  int status_ = 0;
  Headers headers_;
  std::string body_;
};

/// Removes hop-by-hop fields (Connection and the fields it names, Keep-Alive, Proxy-*, TE, Trailer,
/// Transfer-Encoding, Upgrade) and Content-Length.
void
RemoveHopByHop(Headers& aHeaders);

} // namespace boragepier::http

#endif
