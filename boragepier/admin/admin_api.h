#ifndef BORAGEPIER_ADMIN_ADMIN_API_H
#define BORAGEPIER_ADMIN_ADMIN_API_H

#include <cstddef>
#include <string>
#include <string_view>

#include "boragepier/admin/admin_hooks.h"

namespace boragepier {

/// Longest body of POST /config/announce, in bytes. A service file has at most 32 KiB; JSON escapes
/// can lengthen it.
inline constexpr std::size_t kMaxAnnounceBody = 256 << 10;
/// Largest N of /explain?last=N. A record with 16 attempts of 16 candidates has about 40 KB.
inline constexpr std::size_t kMaxExplainLast = 256;

/// A request to the admin surface.
struct AdminRequest
{
  std::string_view method_;
  std::string_view path_;
  std::string_view query_; ///< without "?"
  std::string_view body_;
};

/// The response to it.
struct AdminResponse
{
  int status_ = 200;
  std::string_view contentType_ = "application/json";
  std::string body_;
};

/// @param aError name of the error, for example "not-found"
/// @param aDetail what is wrong and what is accepted
/// @return a response with a JSON error
AdminResponse
ErrorResponse(int aStatus, std::string_view aError, const std::string& aDetail);

/// Answers requests from hooks. Thread-safe if the hooks are.
class AdminApi
{
public:
  explicit AdminApi(AdminHooks aHooks);

  /// @return the response; bad input gives a 4xx with a JSON error, a hook that throws gives 503
  AdminResponse Handle(const AdminRequest& aRequest) const;

private:
  AdminResponse Route(const AdminRequest& aRequest) const;
  AdminResponse Live() const;
  AdminResponse Ready() const;
  AdminResponse ExplainQuery(std::string_view aQuery) const;
  AdminResponse Announce(std::string_view aBody) const;

  AdminHooks hooks_;
};

} // namespace boragepier

#endif
