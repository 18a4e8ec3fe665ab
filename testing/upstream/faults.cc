#include "testing/upstream/faults.h"

#include <functional>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace boragepier::testing {

namespace {

using nlohmann::json;
using ModeHandler = std::function<void(Faults&, const json&, MonotonicTime)>;

const std::map<std::string, ModeHandler, std::less<>>&
ModeHandlers()
{
  static const std::map<std::string, ModeHandler, std::less<>> kModeHandlers = {
    { "normal", [](Faults&, const json&, MonotonicTime) {} },
    { "drain",
      [](Faults& aFaults, const json& aMode, MonotonicTime aNow) {
        aFaults.draining_ = true;
        aFaults.refuseRequestsFrom_ = aNow + FromMilliseconds(aMode.value("forMs", 500.0));
      } },
    { "cold-start",
      [](Faults& aFaults, const json& aMode, MonotonicTime aNow) {
        aFaults.coldStartEnd_ = aNow + FromMilliseconds(aMode.value("forMs", 2000.0));
        aFaults.coldStartFactor_ = aMode.value("factor", 10.0);
      } },
    { "shed",
      [](Faults& aFaults, const json& aMode, MonotonicTime) {
        aFaults.shedQueueLength_ = aMode.value("limit", std::size_t(4));
      } },
    { "pause",
      [](Faults& aFaults, const json& aMode, MonotonicTime) {
        aFaults.retryAfter_ = aMode.value("retryAfter", std::string("1"));
      } },
    { "straggle",
      [](Faults& aFaults, const json& aMode, MonotonicTime) {
        aFaults.slowdownFactor_ = aMode.value("factor", 10.0);
      } },
    { "fail-fast", [](Faults& aFaults, const json&, MonotonicTime) { aFaults.failFast_ = true; } },
    { "silent",
      [](Faults& aFaults, const json&, MonotonicTime) { aFaults.silenceOpenConnections_ = true; } },
    { "silent-after-run",
      [](Faults& aFaults, const json&, MonotonicTime) { aFaults.silentAfterRun_ = true; } },
    { "truncate",
      [](Faults& aFaults, const json&, MonotonicTime) { aFaults.truncateResponses_ = true; } },
    { "misreport",
      [](Faults& aFaults, const json&, MonotonicTime) { aFaults.reportZeroLoad_ = true; } },
    { "no-report",
      [](Faults& aFaults, const json&, MonotonicTime) { aFaults.omitLoadReport_ = true; } },
  };
  return kModeHandlers;
}

} // namespace

Faults
ApplyMode(const Faults& aFaults, std::string_view aJson, MonotonicTime aNow)
{
  try {
    const json mode = json::parse(aJson);
    const auto handler = ModeHandlers().find(mode.at("mode").get<std::string>());
    if (handler == ModeHandlers().end()) {
      throw InvalidMode("unknown mode");
    }
    Faults faults = mode.value("add", false) ? aFaults : Faults{};
    handler->second(faults, mode, aNow);
    return faults;
  } catch (const json::exception& error) {
    throw InvalidMode(error.what());
  }
}

} // namespace boragepier::testing
