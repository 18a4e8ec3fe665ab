#ifndef BORAGEPIER_ADMIN_ADMIN_API_H
#define BORAGEPIER_ADMIN_ADMIN_API_H

#include <cstddef>
#include <string>
#include <string_view>

#include "boragepier/admin/admin_hooks.h"

namespace boragepier {

/// Longest accepted body of POST /config/announce. A service file has at most 32 KiB; JSON escapes
/// make it longer.
inline constexpr std::size_t kMaxAnnounceBodyBytes = 256 << 10;
/// Largest N of /explain?last=N. Bounds the response: a record with 16 attempts of 16 candidates
/// takes about 40 KB.
inline constexpr std::size_t kMaxExplainRecords = 256;

/// A request to the admin API.
struct AdminRequest
{
  std::string_view method_;
  std::string_view path_;  ///< without the query
  std::string_view query_; ///< without "?"
  std::string_view body_;
};

/// Response of the admin API.
struct AdminResponse
{
  int status_ = 200;
  std::string_view contentType_ = "application/json";
  std::string body_;
};

/// @param aStatus HTTP status
/// @param aError machine-readable name of the error, for example "not-found"
/// @param aDetail text for the operator: what is wrong and what is accepted
/// @return a response whose body is a JSON object with the members "error" and "detail"
AdminResponse
ErrorResponse(int aStatus, std::string_view aError, const std::string& aDetail);

/// Handles admin requests, independent of the transport. The data comes from AdminHooks.
/// Thread-safe if the hooks are.
class AdminApi
{
public:
  explicit AdminApi(AdminHooks aHooks);

  /// @return the response; 4xx with a JSON error for invalid input, 503 if a hook throws
  AdminResponse Handle(const AdminRequest& aRequest) const;

private:
  AdminResponse Route(const AdminRequest& aRequest) const;
  AdminResponse HandleLive() const;
  AdminResponse HandleReady() const;
  AdminResponse HandleExplain(std::string_view aQuery) const;
  AdminResponse HandleAnnounce(std::string_view aBody) const;

  AdminHooks hooks_;
};

} // namespace boragepier

#endif
