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

/// Address of the platform and limits of the requests to it.
struct PlatformOptions
{
  http::Target target_;
  /// Upper limit for one request, also if its deadline is later. If a connection stops responding
  /// during a write, this leaves time to read the row back before the deadline.
  Duration requestTimeout_ = std::chrono::seconds(2);
  /// Largest body of a response. A scan of 500 rows that each hold a response of 64 KiB exceeds it
  /// and fails; the reader then requests fewer rows.
  std::size_t maxResponseBytes_ = std::size_t{ 8 } << 20;
  std::size_t maxConnections_ = 16; ///< at a time; further requests wait for one
};

/// Sends HTTP requests to the platform for the adapters below. Loop thread only.
class PlatformClient
{
public:
  /// aLoop and aClient outlive this object, the adapters and their requests.
  PlatformClient(net::EventLoop& aLoop, http::Client& aClient, PlatformOptions aOptions);

  /// Sends one request.
  /// @param aIsWrite whether the request may change something; it then uses only a connection that
  ///   is new or has just carried a response
  /// @param aDone runs exactly once, never inside Send(); receives NotRun if aDeadline has passed
  void Send(http::Request aRequest,
            bool aIsWrite,
            MonotonicTime aDeadline,
            http::Client::Callback aDone);
  net::EventLoop& Loop() { return loop_; }
  Duration RequestTimeout() const { return options_.requestTimeout_; }

private:
  net::EventLoop& loop_;
  http::Client& client_;
  PlatformOptions options_;
};

/// The platform's table over `POST /table`. Satisfies TableStore. A reply is Unavailable only if no
/// byte was sent or the platform states that it did not apply the request; an invalid response
/// makes it Unknown.
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

/// Result of a request to the object store.
enum class ObjectStatus : std::uint8_t
{
  Done,
  NotFound,
  Unavailable, ///< the request was certainly not applied
  Unknown,     ///< no valid response: a write may have been applied
};

/// The platform's object store over `PUT` and `GET /objects/<name>`.
class HttpObjectStore
{
public:
  using PutCallback = std::function<void(ObjectStatus)>;
  /// Receives the bytes of the object if the status is Done, else no bytes.
  using GetCallback = std::function<void(ObjectStatus, std::string)>;

  explicit HttpObjectStore(PlatformClient& aPlatform)
    : platform_(aPlatform)
  {
  }
  /// @param aName one or more letters, digits, '.', '-' and '_', but neither "." nor ".."; with any
  ///   other name Put() is Unavailable and Get() is NotFound
  void Put(std::string_view aName, std::string aBytes, MonotonicTime aDeadline, PutCallback aDone);
  void Get(std::string_view aName, MonotonicTime aDeadline, GetCallback aDone);

private:
  PlatformClient& platform_;
};

/// The platform's list of processes over `GET /instances`. Satisfies InstanceList. A list that
/// cannot be decoded is treated like a missing response, so that one invalid entry cannot make
/// upstreams disappear. If the platform sends an ETag, an unchanged list is not transferred again:
/// for a fleet of the size planned in two years it has about 900 KB, more than an instance may
/// receive in a minute.
class HttpInstanceList
{
public:
  explicit HttpInstanceList(PlatformClient& aPlatform)
    : platform_(aPlatform)
  {
  }
  void Fetch(ListCallback aDone);

private:
  std::optional<std::vector<ListedProcess>> ProcessResponse(const http::SendResult& aResult);

  PlatformClient& platform_;
  std::string listEtag_; ///< ETag of lastList_; empty if there is none
  std::vector<ListedProcess> lastList_;
};

static_assert(TableStore<HttpTableStore>);
static_assert(InstanceList<HttpInstanceList>);

} // namespace boragepier::platform

#endif
