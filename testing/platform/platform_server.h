#ifndef BORAGEPIER_TESTING_PLATFORM_PLATFORM_SERVER_H
#define BORAGEPIER_TESTING_PLATFORM_PLATFORM_SERVER_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/http/server.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/ports/instance_list.h"
#include "testing/platform/memory_table.h"

namespace boragepier::testing {

/// Faults of the platform, as set by `POST /control`.
struct PlatformFaults
{
  bool unreachable_ = false; ///< connections are closed without a response
  bool tableDown_ = false;   ///< table and objects respond with 503 without applying a request
  bool listDown_ = false;    ///< reads of the process list get 503
  std::uint64_t responseDelayMs_ = 0; ///< delay before a request is handled
  /// Number of next writes that are applied without a response.
  std::uint64_t writeAnswersToLose_ = 0;
  std::uint64_t listLagMs_ = 0; ///< staleness of the process list
};

/// In-memory platform for tests: table, object store and process list, with fault injection. See
/// docs/platform.md for the protocol. Loop thread only.
class PlatformServer
{
public:
  explicit PlatformServer(net::EventLoop& aLoop);

  /// @param aPort 0: any free port
  /// @return the port on which the server listens
  std::uint16_t Listen(const std::string& aAddress, std::uint16_t aPort);

  PlatformFaults& Faults() { return faults_; }
  MemoryTable& Table() { return table_; }

private:
  using ProcessList = std::vector<ListedProcess>;

  void OnRequest(const std::shared_ptr<http::Exchange>& aExchange);
  void HandleRequest(const std::shared_ptr<http::Exchange>& aExchange);
  http::Response Route(const http::Request& aRequest);
  http::Response ServeTable(const http::Request& aRequest);
  http::Response ServeObject(const http::Request& aRequest, std::string_view aName);
  http::Response ServeList(const http::Request& aRequest);
  http::Response UpdateList(const http::Request& aRequest, const std::string& aId);
  http::Response ApplyControl(std::string_view aBody);
  http::Response CountsAsJson() const;
  /// Uses up one of writeAnswersToLose_ if the present request is a write.
  /// @return whether its response must be dropped
  bool ConsumeLostAnswer();

  net::EventLoop& loop_;
  http::Server server_;
  PlatformFaults faults_;
  MemoryTable table_;
  std::map<std::string, std::string, std::less<>> objects_;
  std::map<std::string, ListedProcess> processes_;
  std::deque<std::pair<MonotonicTime, ProcessList>> listHistory_; ///< oldest first
  bool requestIsWrite_ = false;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t operations_ = 0;
  std::uint64_t listReads_ = 0;
  std::uint64_t listUnchanged_ = 0; ///< reads among listReads_ that got 304
};

} // namespace boragepier::testing

#endif
