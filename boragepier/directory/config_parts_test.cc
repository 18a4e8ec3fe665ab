#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "boragepier/directory/config_assembly.h"
#include "boragepier/directory/directory_fakes.h"
#include "boragepier/directory/store_view.h"

#include <CppUTest/TestHarness.h>

// Tests of the configuration in parts: their codec, their transfer and their assembly.

namespace boragepier {

namespace {

constexpr MonotonicTime kNow{ std::chrono::hours(1) };
constexpr FeedTopic kTopic = FeedTopic::Configuration;
constexpr std::size_t kMaxBytes = 2000;
const InstanceId kSender("sender");
const InstanceId kOtherSender("other-sender");

FeedResponse
MakeConfigResponse(const FleetConfig& aConfig, std::uint64_t aStorePosition)
{
  FeedResponse response;
  response.status_ = FeedStatus::Ok;
  response.position_ = ToPartPosition(aStorePosition);
  response.rows_ = DivideConfig(aConfig, aStorePosition);
  return response;
}

// Reads these versions from the store, at positions equal to them.
void
ReadVersions(StoreView& aView, const std::vector<std::uint64_t>& aVersions, int aRouteCount)
{
  for (const std::uint64_t version : aVersions) {
    aView.ApplyResponse(
      kTopic, MakeConfigResponse(MakeConfig(version, aRouteCount), version), false, kNow);
  }
}

std::uint64_t
VersionOf(const StoreView& aView)
{
  const auto update = aView.UpdateSince(kTopic, 0, std::size_t{ 1 } << 30, kNow);
  for (const FeedRow& row : update.rows_) {
    if (row.key_ == kConfigSummaryKey) {
      return std::get<ConfigSummary>(DecodeConfigPart(row)).version_;
    }
  }
  return 0;
}

} // namespace

TEST_GROUP(ConfigParts){
  // Sends one message from aFrom to aTo. Returns whether it was complete.
  bool Transfer(const StoreView& aFrom, const InstanceId& aSender, StoreView& aTo){
    const auto update =
      aFrom.UpdateSince(kTopic, aTo.SubscribePosition(kTopic, aSender), kMaxBytes, kNow);
aTo.ApplyUpdate(kTopic, aSender, 0, update, kNow);
return update.complete_;
}

int
TransferAll(const StoreView& aFrom, const InstanceId& aSender, StoreView& aTo)
{
  constexpr int kMaxMessages = 1000;
  int messages = 1;
  while ((!Transfer(aFrom, aSender, aTo) || aTo.IsRelisting(kTopic)) && messages < kMaxMessages) {
    ++messages;
  }
  return messages;
}
}
;

// Guards against a setting that is lost between two instances.
TEST(ConfigParts, AllSettingsAreKept)
{
  RouteConfig route{ "r",
                     "h",
                     "/p/",
                     { { ServiceName("a"), 0.25 }, { ServiceName("b"), 3 } },
                     Repeatability::Repeatable,
                     7,
                     std::chrono::milliseconds(1),
                     std::chrono::milliseconds(2),
                     9,
                     true };
  ServiceConfig service;
  service.name_ = ServiceName("s");
  service.policy_ = PolicyKind::FreshProbes;
  service.rules_ = { { "POST", "/x/", Repeatability::Repeatable } };
  service.probePath_ = "/health";
  service.slots_ = 17;
  service.hedgeRatio_ = 0.125;
  service.claimRetention_ = std::chrono::hours(3);
  FleetConfig config;
  config.version_ = 5;
  config.routes_ = { route };
  config.services_ = { service };
  config.limits_.maxBody_ = 12345;
  config.limits_.idleTimeout_ = std::chrono::milliseconds(17);
  const auto parts = DivideConfig(config, 3);
  CHECK_EQUAL(3, parts.size());
  const auto decodedRoute = std::get<RouteConfig>(DecodeConfigPart(parts[0]));
  CHECK_EQUAL(2, decodedRoute.services_.size());
  DOUBLES_EQUAL(0.25, decodedRoute.services_[0].weight_, 0);
  CHECK(decodedRoute.services_[1].service_ == ServiceName("b"));
  CHECK(decodedRoute.repeatability_ == Repeatability::Repeatable);
  CHECK_EQUAL(7, decodedRoute.maxAttempts_);
  CHECK(decodedRoute.timeLimit_ == std::chrono::milliseconds(1));
  CHECK(decodedRoute.latencyTarget_ == std::chrono::milliseconds(2));
  CHECK_EQUAL(9, decodedRoute.priority_);
  CHECK(decodedRoute.public_);
  const auto decodedService = std::get<ServiceConfig>(DecodeConfigPart(parts[1]));
  CHECK(decodedService.policy_ == PolicyKind::FreshProbes);
  CHECK_EQUAL(1, decodedService.rules_.size());
  CHECK(decodedService.probePath_ == "/health");
  CHECK_EQUAL(17, decodedService.slots_);
  DOUBLES_EQUAL(0.125, decodedService.hedgeRatio_, 0);
  CHECK(decodedService.claimRetention_ == std::chrono::hours(3));
  const auto summary = std::get<ConfigSummary>(DecodeConfigPart(parts[2]));
  CHECK_EQUAL(5, summary.version_);
  CHECK_EQUAL(12345, summary.limits_.maxBody_);
  CHECK(summary.limits_.idleTimeout_ == std::chrono::milliseconds(17));
}

FleetConfig
MakeTeamConfig(std::uint64_t aVersion, int aTeams, int aKeysPerTeam)
{
  FleetConfig config = MakeConfig(aVersion);
  config.keysRequired_ = true;
  for (int i = 0; i < aTeams; ++i) {
    TeamConfig& team = config.teams_.emplace_back();
    team.terms_ = { TeamName("t" + std::to_string(i)), 2, 1.5, 7 };
    for (int j = 0; j < aKeysPerTeam; ++j) {
      team.keys_.push_back(DigestOfKey(team.terms_.name_.Text() + '-' + std::to_string(j)));
    }
  }
  return config;
}

std::string
TeamOf(const ConfigAssembly& aAssembly, std::string_view aKey)
{
  const auto team = aAssembly.Active()->teams_->Find(DigestOfKey(aKey));
  return team ? team->terms_.name_.Text() : "";
}

void
ApplyAll(ConfigAssembly& aAssembly, const std::vector<FeedRow>& aParts)
{
  for (const FeedRow& part : aParts) {
    aAssembly.Apply(part);
  }
  CHECK(aAssembly.Activate(0) == ConfigAssembly::Result::Activated);
}

TEST(ConfigParts, TeamsAndKeysAreKept)
{
  FleetConfig config = MakeTeamConfig(5, 2, 2);
  config.teams_[1].terms_.priority_.reset();
  ConfigAssembly assembly;
  ApplyAll(assembly, DivideConfig(config, 3));
  CHECK(assembly.Active()->keysRequired_);
  CHECK_EQUAL(2U, assembly.Active()->teams_->Teams().size());
  for (const TeamConfig& team : config.teams_) {
    CHECK(assembly.Active()->teams_->Find(team.keys_[1])->terms_ == team.terms_);
  }
}

// With one key at two teams, the requests of one of them would count for the other.
TEST(ConfigParts, KeyOfTwoTeamsLeadsToNone)
{
  FleetConfig config = MakeTeamConfig(5, 3, 2);
  config.teams_[1].keys_.push_back(DigestOfKey("t0-1"));
  config.teams_[2].keys_.push_back(DigestOfKey("t0-1"));
  config.teams_[2].keys_.push_back(DigestOfKey("t2-0"));
  ConfigAssembly assembly;
  ApplyAll(assembly, DivideConfig(config, 3));
  CHECK_EQUAL(std::string(), TeamOf(assembly, "t0-1"));
  CHECK_EQUAL(std::string("t0"), TeamOf(assembly, "t0-0"));
  CHECK_EQUAL(std::string("t2"), TeamOf(assembly, "t2-0"));
}

// 10,000 keys: a change of one key costs what one key costs, also for those who relay it.
TEST(ConfigParts, ChangeOfOneKeySendsTwoParts)
{
  FleetConfig config = MakeTeamConfig(5, 100, 100);
  StoreView reader;
  reader.ApplyResponse(kTopic, MakeConfigResponse(config, 5), false, kNow);
  StoreView view;
  TransferAll(reader, kSender, view);
  ConfigAssembly assembly;
  ApplyAll(assembly, view.UpdateSince(kTopic, 0, std::size_t{ 1 } << 30, kNow).rows_);
  CHECK_EQUAL(std::string("t7"), TeamOf(assembly, "t7-99"));
  config.version_ = 6;
  config.routes_ = MakeConfig(5).routes_;
  config.teams_[7].keys_.pop_back();
  reader.ApplyResponse(kTopic, MakeConfigResponse(config, 6), true, kNow);
  const auto update = reader.UpdateSince(kTopic, view.Position(kTopic), kMaxBytes, kNow);
  CHECK_EQUAL(2U, update.rows_.size());
  ApplyAll(assembly, update.rows_);
  CHECK_EQUAL(std::string(), TeamOf(assembly, "t7-99"));
  CHECK_EQUAL(std::string("t7"), TeamOf(assembly, "t7-98"));
}

// Guards against bytes of another instance that end the process or are taken for a part.
TEST(ConfigParts, AlteredBytesAreRejectedOrDecoded)
{
  Random random(7);
  const auto parts = DivideConfig(MakeTeamConfig(5, 1, 1), 3);
  int rejected = 0;
  for (int i = 0; i < 20000; ++i) {
    FeedRow part = parts[static_cast<std::size_t>(i) % parts.size()];
    const auto place = static_cast<std::size_t>(random(part.value_.size()));
    if (i % 3 == 0) {
      part.value_.resize(place);
    } else {
      part.value_[place] = static_cast<char>(random(256));
    }
    try {
      DecodeConfigPart(part);
    } catch (const ConfigPartError&) {
      ++rejected;
    }
  }
  CHECK(rejected > 5000);
}

// Guards against a reader that asks the store for changes after a version of which it has a part.
TEST(ConfigParts, PositionWithinAVersionDoesNotIncludeIt)
{
  CHECK_EQUAL(7, ToStorePosition(ToPartPosition(7)));
  CHECK_EQUAL(0, ToStorePosition(0));
  for (const FeedRow& part : DivideConfig(MakeConfig(5, 100), 8)) {
    CHECK(part.version_ <= ToPartPosition(8));
    CHECK(part.version_ > ToPartPosition(7));
    CHECK_EQUAL(part.key_ == kConfigSummaryKey ? 8 : 7, ToStorePosition(part.version_));
  }
}

// Guards against a version that is too large for one message, and against one of which a part is
// taken for the whole.
TEST(ConfigParts, LargeVersionIsSentInSeveralMessages)
{
  StoreView reader;
  ReadVersions(reader, { 5 }, 1000);
  StoreView view;
  while (!Transfer(reader, kSender, view)) {
    CHECK(!view.IsComplete(kTopic));
    CHECK(!view.IsSynced(kTopic));
    CHECK_EQUAL(0, view.CompletePosition(kTopic));
  }
  CHECK(view.IsComplete(kTopic));
  CHECK_EQUAL(5, VersionOf(view));
}

// Guards against unchanged routes that are sent with each version.
TEST(ConfigParts, ChangeOfOneRouteSendsTwoParts)
{
  StoreView reader;
  ReadVersions(reader, { 5 }, 1000);
  StoreView view;
  TransferAll(reader, kSender, view);
  reader.ApplyResponse(kTopic, MakeConfigResponse(MakeConfig(6, 1000), 6), true, kNow);
  const auto update = reader.UpdateSince(kTopic, view.Position(kTopic), kMaxBytes, kNow);
  CHECK_EQUAL(2, update.rows_.size());
}

// Readers that saw different versions date the same change differently. Guards against a change
// that is missed when the source changes in the middle of a transfer.
TEST(ConfigParts, TransferStartsAnewWithAnotherSender)
{
  StoreView reader;
  ReadVersions(reader, { 5, 6, 7, 8 }, 300);
  StoreView other;
  ReadVersions(other, { 5, 8 }, 300);
  for (int messages = 1; messages < 20; ++messages) {
    StoreView view;
    ReadVersions(view, { 4 }, 300);
    StoreView fresh;
    for (int i = 0; i < messages; ++i) {
      Transfer(reader, kSender, view);
      Transfer(reader, kSender, fresh);
    }
    for (StoreView* const target : { &view, &fresh }) {
      // A part of another sender's rows does not disturb the transfer.
      const bool complete = target->IsComplete(kTopic) && target->IsSynced(kTopic);
      const auto part = other.UpdateSince(kTopic, 0, kMaxBytes, kNow);
      CHECK(complete || !target->ApplyUpdate(kTopic, kOtherSender, 0, part, kNow).has_value());
      target->AbandonOtherTransfers(kOtherSender);
      TransferAll(other, kOtherSender, *target);
      CHECK(target->IsComplete(kTopic));
      CHECK_EQUAL(8, VersionOf(*target));
    }
  }
}

// Guards against a configuration in force that no operator has published: an instance whose parts
// differ from those of its source finds out, and collects all of them.
TEST(ConfigParts, PartsThatDisagreeWithTheDigestAreCollectedAnew)
{
  FleetConfig config = MakeConfig(5, 300);
  StoreView view;
  view.ApplyResponse(kTopic, MakeConfigResponse(config, 5), false, kNow);
  // A route that the source has never had: it read the store only after its removal.
  config.version_ = 6;
  config.routes_.pop_back();
  StoreView source;
  source.ApplyResponse(kTopic, MakeConfigResponse(config, 6), false, kNow);
  std::vector<FeedRow> changed;
  ConfigAssembly assembly;
  for (const FeedRow& part : DivideConfig(MakeConfig(5, 300), 5)) {
    assembly.Apply(part);
  }
  CHECK(assembly.Activate(0) == ConfigAssembly::Result::Activated);
  bool relisted = false;
  for (int i = 0; i < 200 && (!view.IsComplete(kTopic) || i == 0); ++i) {
    const auto update =
      source.UpdateSince(kTopic, view.SubscribePosition(kTopic, kSender), kMaxBytes, kNow);
    const auto rows = view.ApplyUpdate(kTopic, kSender, 0, update, kNow);
    CHECK(rows.has_value());
    for (const FeedRow& row : *rows) {
      assembly.Apply(row);
    }
    relisted = relisted || view.IsRelisting(kTopic);
  }
  CHECK(relisted);
  CHECK(view.IsComplete(kTopic));
  CHECK(assembly.Activate(0) == ConfigAssembly::Result::Activated);
  CHECK_EQUAL(6, assembly.Active()->version_);
  CHECK_EQUAL(299, assembly.Active()->routes_->Size());
}

// Guards against changes whose cost grows with the number of routes.
TEST(ConfigParts, VersionsShareTheRoutesThatDidNotChange)
{
  ConfigAssembly assembly;
  FeedMirror mirror;
  const auto applyVersion = [&](std::uint64_t aVersion, int aRouteCount) {
    for (const FeedRow& part : mirror.ReplaceContent(
           DivideConfig(MakeConfig(aVersion, aRouteCount), aVersion), ToPartPosition(aVersion))) {
      assembly.Apply(part);
    }
    CHECK(assembly.Activate(0) == ConfigAssembly::Result::Activated);
    return assembly.Active();
  };
  const auto first = applyVersion(1, 4000);
  const auto second = applyVersion(2, 4000);
  std::size_t shared = 0;
  for (std::size_t i = 0; i < RouteSet::kShardCount; ++i) {
    shared += first->routes_->ShardAt(i) == second->routes_->ShardAt(i) ? 1 : 0;
  }
  CHECK_EQUAL(RouteSet::kShardCount - 1, shared);
  CHECK(first->services_ == second->services_);
  CHECK_EQUAL(10, applyVersion(3, 10)->routes_->Size());
}

// Guards against a first configuration that never takes effect: its version was compared with that
// of a configuration that did not exist.
TEST(ConfigParts, FirstVersionMayBeZero)
{
  ConfigAssembly assembly;
  for (const FeedRow& part : DivideConfig(MakeConfig(0), 1)) {
    assembly.Apply(part);
  }
  CHECK(assembly.Activate(0) == ConfigAssembly::Result::Activated);
  CHECK_EQUAL(0, assembly.Active()->version_);
  CHECK(assembly.Activate(0) == ConfigAssembly::Result::Unchanged);
}

} // namespace boragepier
