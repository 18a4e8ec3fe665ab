#ifndef BORAGEPIER_PLATFORM_HTTP_PLATFORM_H
#define BORAGEPIER_PLATFORM_HTTP_PLATFORM_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "boragepier/base/time.h"
#include "boragepier/http/client.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/ports/instance_list.h"
#include "boragepier/ports/table_store.h"

namespace boragepier::platform {

/// How the platform is reached.
struct PlatformOptions
{
  http::Target target_;
  /// Of one request, whatever its deadline. A connection that went silent must leave time for
  /// reading back within the deadline of a call.
  Duration requestTimeout_ = std::chrono::seconds(2);
  /// A request with 500 rows that hold answers of 64 KiB does not fit and fails; the reader then
  /// asks for fewer rows.
  std::size_t maxResponse_ = std::size_t{ 8 } << 20;
  std::size_t maxConnections_ = 16;
};

/// Sends one request to the platform. Common part of the adapters below.
class PlatformClient
{
public:
  /// aClient and aLoop outlive all adapters and their requests.
  PlatformClient(net::EventLoop& aLoop, http::Client& aClient, PlatformOptions aOptions);

  /// @param aDone runs exactly once, later; NotRun also if the deadline has passed
  void Send(http::Request aRequest,
            bool aChanges,
            MonotonicTime aDeadline,
            http::Client::Callback aDone);
  net::EventLoop& Loop() { return loop_; }
  Duration RequestTimeout() const { return options_.requestTimeout_; }

private:
  net::EventLoop& loop_;
  http::Client& client_;
  PlatformOptions options_;
};

/// The table service over `POST /table`. Satisfies TableStore. Unavailable only if nothing was sent
/// or the platform certified that it did not apply the request; a damaged answer is Unknown.
class HttpTableStore
{
public:
  explicit HttpTableStore(PlatformClient& aPlatform)
    : platform_(aPlatform)
  {
  }
  void Submit(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone);

private:
  PlatformClient& platform_;
};

/// How a request to the object store ended.
enum class ObjectStatus : std::uint8_t
{
  Done,
  NotFound,
  Unavailable, ///< certainly not applied
  Unknown,     ///< a write may have been applied
};

/// The object store over `PUT` and `GET /objects/<name>`.
class HttpObjectStore
{
public:
  using PutCallback = std::function<void(ObjectStatus)>;
  /// Receives the bytes if the status is Done.
  using GetCallback = std::function<void(ObjectStatus, std::string)>;

  explicit HttpObjectStore(PlatformClient& aPlatform)
    : platform_(aPlatform)
  {
  }
  /// @param aName letters, digits, '.', '-' and '_'
  void Put(std::string_view aName, std::string aBytes, MonotonicTime aDeadline, PutCallback aDone);
  void Get(std::string_view aName, MonotonicTime aDeadline, GetCallback aDone);

private:
  PlatformClient& platform_;
};

/// The list of processes over `GET /instances`. Satisfies InstanceList. A damaged list counts as no
/// answer, so that one wrong entry cannot make upstreams disappear. A list that has not changed
/// since the last fetch is not sent again, if the platform gives it an ETag: at the two-year size
/// it has some 900 KB, more than an instance may receive in a minute.
class HttpInstanceList
{
public:
  explicit HttpInstanceList(PlatformClient& aPlatform)
    : platform_(aPlatform)
  {
  }
  void Fetch(ListCallback aDone);

private:
  std::optional<std::vector<ListedProcess>> Accept(const http::SendResult& aResult);

  PlatformClient& platform_;
  std::string entityTag_; ///< of last_
  std::vector<ListedProcess> last_;
};

static_assert(TableStore<HttpTableStore>);
static_assert(InstanceList<HttpInstanceList>);

} // namespace boragepier::platform

#endif
