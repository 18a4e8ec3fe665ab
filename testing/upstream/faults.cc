#include "testing/upstream/faults.h"

#include <functional>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace boragepier::testing {

namespace {

using nlohmann::json;
using Change = std::function<void(Faults&, const json&, MonotonicTime)>;

const std::map<std::string, Change, std::less<>>&
Changes()
{
  static const std::map<std::string, Change, std::less<>> kChanges = {
    { "normal", [](Faults&, const json&, MonotonicTime) {} },
    { "drain",
      [](Faults& aFaults, const json& aMode, MonotonicTime aNow) {
        aFaults.draining_ = true;
        aFaults.refuseFrom_ = aNow + FromMilliseconds(aMode.value("forMs", 500.0));
      } },
    { "cold-start",
      [](Faults& aFaults, const json& aMode, MonotonicTime aNow) {
        aFaults.coldUntil_ = aNow + FromMilliseconds(aMode.value("forMs", 2000.0));
        aFaults.coldFactor_ = aMode.value("factor", 10.0);
      } },
    { "shed",
      [](Faults& aFaults, const json& aMode, MonotonicTime) {
        aFaults.shedAbove_ = aMode.value("limit", std::size_t(4));
      } },
    { "straggle",
      [](Faults& aFaults, const json& aMode, MonotonicTime) {
        aFaults.straggleFactor_ = aMode.value("factor", 10.0);
      } },
    { "fail-fast", [](Faults& aFaults, const json&, MonotonicTime) { aFaults.failFast_ = true; } },
    { "silent",
      [](Faults& aFaults, const json&, MonotonicTime) { aFaults.silenceExisting_ = true; } },
    { "silent-after-run",
      [](Faults& aFaults, const json&, MonotonicTime) { aFaults.silentAfterRun_ = true; } },
    { "truncate", [](Faults& aFaults, const json&, MonotonicTime) { aFaults.truncate_ = true; } },
    { "misreport", [](Faults& aFaults, const json&, MonotonicTime) { aFaults.misreport_ = true; } },
    { "no-report", [](Faults& aFaults, const json&, MonotonicTime) { aFaults.noReport_ = true; } },
  };
  return kChanges;
}

} // namespace

Faults
ApplyMode(const Faults& aFaults, std::string_view aJson, MonotonicTime aNow)
{
  try {
    const json mode = json::parse(aJson);
    const auto found = Changes().find(mode.at("mode").get<std::string>());
    if (found == Changes().end()) {
      throw InvalidMode("unknown mode");
    }
    Faults faults = mode.value("add", false) ? aFaults : Faults{};
    found->second(faults, mode, aNow);
    return faults;
  } catch (const json::exception& error) {
    throw InvalidMode(error.what());
  }
}

} // namespace boragepier::testing
