// Measures what one version of the configuration costs an instance, by stage, for configurations of
// different sizes: CPU time, and bytes between instances. Prints a table and has no pass criterion.
//
//   build/testing/bench/boragepier_control_cost

#include <array>
#include <cstdio>
#include <ctime>
#include <string>

#include <nlohmann/json.hpp>

#include "boragepier/directory/directory_state.h"
#include "boragepier/directory/feed_mirror.h"
#include "boragepier/entry/service_router.h"
#include "boragepier/peer/peer_codec.h"
#include "platform/config_codec.h"
#include "platform/row_codec.h"

namespace boragepier {

namespace {

constexpr int kRepeats = 20;
constexpr int kUpstreams = 170;
constexpr MonotonicTime kNow{ std::chrono::hours(1) };

double
CpuMicroseconds()
{
  std::timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

template<typename Function>
double
MeasureMicroseconds(Function aFunction)
{
  aFunction(0);
  const double start = CpuMicroseconds();
  for (int i = 1; i <= kRepeats; ++i) {
    aFunction(i);
  }
  return (CpuMicroseconds() - start) / kRepeats;
}

// Returns a configuration in the format of the store; the versions differ in one route.
std::string
MakeConfigJson(int aRoutes, int aVersion)
{
  nlohmann::json routes = nlohmann::json::array();
  for (int i = 0; i < aRoutes; ++i) {
    routes.push_back({ { "name", "route-" + std::to_string(i) },
                       { "host", "host" + std::to_string(i % 40) + ".example" },
                       { "prefix", "/path" + std::to_string(i) + "/" },
                       { "kind", "safe" },
                       { "timeout_ms", i == 0 ? 2000 + aVersion : 2000 },
                       { "target_latency_ms", 600 },
                       { "priority", 2 },
                       { "service", "stockroom" },
                       { "max_attempts", 3 } });
  }
  std::array<char, 16> version{};
  std::snprintf(version.data(), version.size(), "%08x", aVersion);
  return nlohmann::json{
    { "version", version.data() },
    { "routes", routes },
    { "services", { { { "name", "stockroom" }, { "health_path", "/health" } } } }
  }.dump();
}

std::string
MakeRowsBody(const std::string& aConfig, int aPosition)
{
  return nlohmann::json{
    { "rows",
      { { { "key", "config" },
          { "row_version", aPosition },
          { "value", metastore::EncodeBase64(aConfig) } } } },
    { "row_version", aPosition }
  }.dump();
}

UpstreamEntry
MakeUpstream(int aNumber, std::uint64_t aStart)
{
  UpstreamEntry entry;
  entry.service_ = ServiceName("stockroom");
  entry.endpoint_ = { UpstreamId("u-" + std::to_string(aNumber)),
                      "127.0.0.1",
                      static_cast<std::uint16_t>(1000 + aNumber),
                      ZoneName("z"),
                      aStart,
                      false };
  return entry;
}

PeerMessage
MakeUpdate(std::vector<FeedRow> aRows)
{
  PeerStoreUpdate update;
  update.topics_.resize(kFeedTopicCount);
  update.topics_[0].position_ = aRows.back().version_;
  update.topics_[0].rows_ = std::move(aRows);
  return update;
}

// Measures the transfer of all parts to an instance that has none.
void
MeasureFirstCopy(int aRoutes)
{
  const std::string json = MakeConfigJson(aRoutes, 1);
  const auto config = metastore::DecodeConfigRow({ "config", 1, false, json });
  FeedMirror mirror;
  mirror.ReplaceContent(DivideConfig(std::get<FleetConfig>(config), 1), ToPartPosition(1));
  std::vector<PeerMessage> updates;
  for (std::uint64_t position = 0; position < mirror.Position();) {
    auto changes = mirror.ChangesSince(position, kMaxStoreUpdateBytes / kFeedTopicCount);
    position = changes.position_;
    updates.push_back(MakeUpdate(std::move(changes.rows_)));
  }
  std::vector<std::string> messages;
  const double sendUs = MeasureMicroseconds([&](int) {
    messages.clear();
    for (const PeerMessage& update : updates) {
      messages.push_back(peer::EncodePeerMessage(update));
    }
  });
  const double receiveUs = MeasureMicroseconds([&](int) {
    for (const std::string& message : messages) {
      peer::DecodePeerMessage(message);
    }
  });
  std::size_t bytes = 0;
  for (const std::string& message : messages) {
    bytes += message.size();
  }
  std::printf("%6d %10zu %10zu %10.0f %10.0f %10zu\n",
              aRoutes,
              json.size(),
              messages.size(),
              sendUs,
              receiveUs,
              bytes);
}

void
MeasureConfig(int aRoutes)
{
  std::vector<std::string> bodies;
  for (int i = 0; i <= kRepeats; ++i) {
    bodies.push_back(MakeRowsBody(MakeConfigJson(aRoutes, i + 1), i + 1));
  }
  std::vector<std::vector<FeedRow>> rows; // as received from the store
  const double receiveUs = MeasureMicroseconds([&](int aRound) {
    rows.push_back(
      metastore::DecodeRowsPage(FeedTopic::Configuration, bodies[static_cast<std::size_t>(aRound)])
        .rows_);
  });
  FeedMirror mirror;
  std::vector<std::vector<FeedRow>> changes; // parts that a version changes
  const double divideUs = MeasureMicroseconds([&](int aRound) {
    const auto config = metastore::DecodeConfigRow(rows[static_cast<std::size_t>(aRound)].front());
    const auto position = static_cast<std::uint64_t>(aRound) + 1;
    changes.push_back(mirror.ReplaceContent(DivideConfig(std::get<FleetConfig>(config), position),
                                            ToPartPosition(position)));
  });
  const PeerMessage update = MakeUpdate(changes.back());
  const double sendUs = MeasureMicroseconds([&](int) { peer::EncodePeerMessage(update); });
  const std::string message = peer::EncodePeerMessage(update);
  const double relayedUs = MeasureMicroseconds([&](int) { peer::DecodePeerMessage(message); });

  DirectoryState state(InstanceId("i"), FleetSettings{});
  std::vector<DecodedFeedRow> upstreams;
  upstreams.reserve(kUpstreams);
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.push_back({ "u-" + std::to_string(i), MakeUpstream(i, 1) });
  }
  state.ApplyChanges(upstreams, kNow);
  ServiceRouter router(InstanceId("i"), ZoneName("z"), 1);
  const double applyUs = MeasureMicroseconds([&](int aRound) {
    state.ApplyConfigParts(changes[static_cast<std::size_t>(aRound)]);
    state.ActivateConfig(0);
    router.Apply(*state.MakeRoutingTable(), kNow);
  });
  const double upstreamUs = MeasureMicroseconds([&](int aRound) {
    const DecodedFeedRow item{ "u-0", MakeUpstream(0, static_cast<std::uint64_t>(aRound) + 2) };
    state.ApplyChanges(std::span(&item, 1), kNow);
    router.Apply(*state.MakeRoutingTable(), kNow);
  });
  std::printf("%6d %10.0f %10.0f %10.0f %10.0f %10.0f %10.0f %10zu\n",
              aRoutes,
              receiveUs,
              divideUs,
              relayedUs,
              applyUs,
              sendUs,
              upstreamUs,
              message.size());
}

} // namespace

} // namespace boragepier

int
main()
{
  std::printf("CPU time in us of a version that changes one route, and of a change of an upstream\n"
              "%6s %10s %10s %10s %10s %10s %10s %10s\n",
              "routes",
              "from store",
              "divide",
              "from peer",
              "apply",
              "send to 1",
              "upstream",
              "bytes");
  for (const int routes : { 40, 1400, 4000 }) {
    boragepier::MeasureConfig(routes);
  }
  std::printf("\nFirst copy of a configuration to another instance, CPU time in us\n"
              "%6s %10s %10s %10s %10s %10s\n",
              "routes",
              "store row",
              "messages",
              "send to 1",
              "receive",
              "bytes");
  for (const int routes : { 40, 1400, 4000 }) {
    boragepier::MeasureFirstCopy(routes);
  }
}
