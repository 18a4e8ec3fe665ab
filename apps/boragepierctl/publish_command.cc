#include "apps/boragepierctl/publish_command.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <ostream>
#include <random>
#include <set>

#include <nlohmann/json.hpp>

#include "apps/boragepierctl/ctl_errors.h"
#include "apps/boragepierctl/remote.h"
#include "apps/boragepierctl/service_files.h"

namespace boragepier::ctl {

namespace {

using nlohmann::json;

// Instances that are told directly; they tell the others. One instance can fail or be cut off, so
// several are told, in as many zones as possible.
constexpr std::size_t kAnnounceTo = 5;
constexpr Duration kAnnounceTimeout = std::chrono::seconds(2);

// What a publish changes and what it leaves alone.
struct Plan
{
  std::vector<ServiceChange> changes_;
  std::vector<ConfigRecord> unchanged_;
};

std::string
NewPublishId(const std::string& aOperator)
{
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  std::random_device random;
  return aOperator + "-" + std::to_string(now.count()) + "-" + std::to_string(random());
}

// Returns the version given by --base for a service.
std::optional<std::uint64_t>
BaseOf(const CtlOptions& aOptions, const ServiceName& aService)
{
  if (const auto found = aOptions.bases_.find(aService.Text()); found != aOptions.bases_.end()) {
    return found->second;
  }
  return aOptions.base_;
}

void
CheckBases(const CtlOptions& aOptions, std::span<const ServiceFile> aFiles)
{
  if (aOptions.base_ && aFiles.size() != 1) {
    throw UsageError("--base VERSION needs exactly one service file, but " +
                     std::to_string(aFiles.size()) + " were found; give --base SERVICE=VERSION");
  }
  for (const auto& [name, version] : aOptions.bases_) {
    const auto has = [&service = name](const ServiceFile& aFile) {
      return aFile.config_.name_.Text() == service;
    };
    if (std::none_of(aFiles.begin(), aFiles.end(), has)) {
      throw UsageError("--base names service " + name + ", which is in none of the files");
    }
  }
}

Plan
MakePlan(const CtlOptions& aOptions, std::span<const ServiceFile> aFiles, Platform& aPlatform)
{
  std::vector<ServiceName> names;
  std::transform(aFiles.begin(), aFiles.end(), std::back_inserter(names), [](const auto& aFile) {
    return aFile.config_.name_;
  });
  const auto records = aPlatform.ReadRecords(names);
  Plan plan;
  for (std::size_t i = 0; i < aFiles.size(); ++i) {
    const auto base = BaseOf(aOptions, names[i]);
    if (records[i] && records[i]->body_ == aFiles[i].text_ &&
        base.value_or(records[i]->version_) == records[i]->version_) {
      plan.unchanged_.push_back(*records[i]);
      continue;
    }
    const std::uint64_t present = records[i] ? records[i]->version_ : 0;
    plan.changes_.push_back({ names[i], base.value_or(present), aFiles[i].text_ });
  }
  return plan;
}

// Turns results that are not a success into exceptions.
std::vector<ConfigRecord>
RecordsOf(const PublishResult& aResult)
{
  if (const auto* conflict = std::get_if<PublishConflict>(&aResult)) {
    throw PublishLostError(
      "service " + conflict->Service().Text() + " is at version " +
      std::to_string(conflict->CurrentVersion()) + ", not at " +
      std::to_string(conflict->ExpectedVersion()) + "; the winner is publish " +
      (conflict->CurrentPublishId().empty() ? "(unknown)" : conflict->CurrentPublishId()) +
      "; nothing was published, merge the winner's change and publish again");
  }
  if (const auto* unavailable = std::get_if<PublishUnavailable>(&aResult)) {
    throw PlatformUnavailableError(std::string(unavailable->what()) +
                                   "; nothing was published, try again");
  }
  if (const auto* unknown = std::get_if<PublishUnknown>(&aResult)) {
    throw PublishUnknownError(std::string(unknown->what()) +
                              "; the publish may be in effect; run the same command again, which "
                              "publishes only what is not in effect yet");
  }
  return std::get<Published>(aResult).records_;
}

// Puts instances of different zones first.
void
SpreadOverZones(std::vector<AdminTarget>& aTargets)
{
  std::shuffle(aTargets.begin(), aTargets.end(), std::mt19937(std::random_device()()));
  std::set<std::string> zones;
  std::stable_partition(aTargets.begin(), aTargets.end(), [&](const AdminTarget& aTarget) {
    return zones.insert(aTarget.zone_).second;
  });
}

// Tells instances about records. Returns the names of those that took over all of them.
std::vector<std::string>
Announce(const CtlOptions& aOptions, std::span<const ConfigRecord> aRecords, std::ostream& aErrors)
{
  std::vector<AdminTarget> targets;
  try {
    targets = FindInstances(aOptions);
  } catch (const PlatformUnavailableError&) {
    aErrors << "boragepierctl: the instance list cannot be read; instances were not told and read "
               "the store instead\n";
    return {};
  }
  if (aOptions.instances_.empty()) {
    SpreadOverZones(targets);
    targets.resize(std::min(targets.size(), kAnnounceTo));
  }
  std::set<std::string> failed;
  for (const ConfigRecord& record : aRecords) {
    const http::Request request{ "POST", "/config/announce", {}, EncodeConfigRecord(record) };
    for (const AdminAnswer& answer : AskInstances(targets, request, kAnnounceTimeout)) {
      if (answer.status_ != 200 && failed.insert(answer.target_.name_).second) {
        aErrors << "boragepierctl: " << answer.target_.name_ << " did not take over "
                << record.service_.View() << ": " << answer.body_ << "\n";
      }
    }
  }
  std::vector<std::string> told;
  for (const AdminTarget& target : targets) {
    if (!failed.contains(target.name_)) {
      told.push_back(target.name_);
    }
  }
  return told;
}

json
VersionsJson(std::span<const ConfigRecord> aRecords)
{
  json versions = json::array();
  for (const ConfigRecord& record : aRecords) {
    versions.push_back({ { "service", record.service_.Text() }, { "version", record.version_ } });
  }
  return versions;
}

void
Report(const CtlOptions& aOptions,
       std::span<const ConfigRecord> aPublished,
       const Plan& aPlan,
       std::span<const std::string> aTold,
       std::ostream& aOutput)
{
  if (aOptions.json_) {
    aOutput << json{
      { "published", VersionsJson(aPublished) },
      { "unchanged", VersionsJson(aPlan.unchanged_) },
      { "announcedTo", aTold }
    }.dump() << "\n";
    return;
  }
  for (const ConfigRecord& record : aPublished) {
    aOutput << "published " << record.service_.View() << " version " << record.version_ << "\n";
  }
  for (const ConfigRecord& record : aPlan.unchanged_) {
    aOutput << "unchanged " << record.service_.View() << " version " << record.version_ << "\n";
  }
  for (const std::string& name : aTold) {
    aOutput << "announced to " << name << "\n";
  }
}

} // namespace

void
RunCheck(const CtlOptions& aOptions, std::ostream& aOutput)
{
  if (aOptions.operands_.empty()) {
    throw UsageError("check needs a file; for example boragepierctl check stock.service.ini");
  }
  const auto files = ReadServiceFiles(aOptions.operands_);
  if (aOptions.json_) {
    json names = json::array();
    for (const ServiceFile& file : files) {
      names.push_back({ { "file", file.path_ }, { "service", file.config_.name_.Text() } });
    }
    aOutput << json{ { "accepted", names } }.dump() << "\n";
    return;
  }
  for (const ServiceFile& file : files) {
    aOutput << file.path_ << ": accepted, service " << file.config_.name_.View() << "\n";
  }
}

void
RunPublish(const CtlOptions& aOptions, std::ostream& aOutput, std::ostream& aErrors)
{
  if (aOptions.operands_.empty() || !aOptions.platform_) {
    throw UsageError("publish needs a directory and --platform; for example boragepierctl publish "
                     "services/ --platform 10.0.0.5:9000");
  }
  const auto files = ReadServiceFiles(CollectServiceFiles(aOptions.operands_));
  CheckBases(aOptions, files);
  Platform platform(*aOptions.platform_, aOptions.timeout_);
  const Plan plan = MakePlan(aOptions, files, platform);
  std::vector<ConfigRecord> published;
  std::vector<std::string> told;
  if (!plan.changes_.empty()) {
    try {
      published = RecordsOf(platform.Publish(
        { .publishId_ = NewPublishId(aOptions.operator_), .changes_ = plan.changes_ }));
    } catch (const PublishRequestError& error) {
      throw FilesInvalidError(std::string(error.what()) + "; nothing was published");
    }
    told = Announce(aOptions, published, aErrors);
  }
  Report(aOptions, published, plan, told, aOutput);
}

} // namespace boragepier::ctl
