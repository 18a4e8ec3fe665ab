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

/// Faults that `POST /control` switches on and off.
struct PlatformFaults
{
  bool down_ = false;      ///< connections are closed without an answer
  bool tableDown_ = false; ///< table and objects refuse requests without applying them
  bool listDown_ = false;  ///< the list refuses requests
  std::uint64_t slowMs_ = 0;
  std::uint64_t loseNextWriteAnswers_ = 0; ///< so many writes are applied and not answered
  std::uint64_t listLagMs_ = 0;            ///< the list shows the state of that time ago
};

/// Stand-in of the platform: table, objects and list of processes in memory, with faults on
/// request. See docs/platform.md for the protocol. Loop thread only.
class PlatformServer
{
public:
  explicit PlatformServer(net::EventLoop& aLoop);

  /// @return the port
  std::uint16_t Listen(const std::string& aAddress, std::uint16_t aPort);

  PlatformFaults& Faults() { return faults_; }
  MemoryTable& Table() { return table_; }

private:
  using List = std::vector<ListedProcess>;

  void OnRequest(const std::shared_ptr<http::Exchange>& aExchange);
  void Serve(const std::shared_ptr<http::Exchange>& aExchange);
  http::Response Route(const http::Request& aRequest);
  http::Response ServeTable(const http::Request& aRequest);
  http::Response ServeObject(const http::Request& aRequest, std::string_view aName);
  http::Response ServeList(const http::Request& aRequest);
  http::Response ChangeList(const http::Request& aRequest, const std::string& aId);
  http::Response Control(std::string_view aBody);
  http::Response Counts() const;
  bool LosesAnswer();

  net::EventLoop& loop_;
  http::Server server_;
  PlatformFaults faults_;
  MemoryTable table_;
  std::map<std::string, std::string, std::less<>> objects_;
  std::map<std::string, ListedProcess> processes_;
  std::deque<std::pair<MonotonicTime, List>> history_; ///< of the list, oldest first
  bool lastWasWrite_ = false;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t operations_ = 0;
  std::uint64_t listReads_ = 0;
  std::uint64_t listUnchanged_ = 0; ///< of listReads_, answered with 304
};

} // namespace boragepier::testing

#endif
