#include "apps/boragepierctl/publish_command.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <ostream>
#include <random>
#include <set>

#include <nlohmann/json.hpp>

#include "apps/boragepierctl/blocking_calls.h"
#include "apps/boragepierctl/ctl_errors.h"
#include "apps/boragepierctl/service_files.h"

namespace boragepier::ctl {

namespace {

using nlohmann::json;

// Number of listed instances that receive an announcement directly; they forward it to their peers.
// There are several, in different availability zones, because one may fail or be cut off.
constexpr std::size_t kMaxAnnounceTargets = 5;
constexpr Duration kAnnounceTimeout = std::chrono::seconds(2);

// Services to write, and services whose stored configuration already equals the file.
struct PublishPlan
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

// Returns the version that --base gives for a service, if any.
std::optional<std::uint64_t>
BaseVersionOf(const CtlOptions& aOptions, const ServiceName& aService)
{
  if (const auto found = aOptions.baseVersionsByService_.find(aService.Text());
      found != aOptions.baseVersionsByService_.end()) {
    return found->second;
  }
  return aOptions.baseVersion_;
}

// Throws UsageError if --base does not fit the files.
void
CheckBaseVersions(const CtlOptions& aOptions, std::span<const ServiceFile> aFiles)
{
  if (aOptions.baseVersion_ && aFiles.size() != 1) {
    throw UsageError("--base VERSION needs exactly one service file, but " +
                     std::to_string(aFiles.size()) + " were found; use --base SERVICE=VERSION");
  }
  for (const auto& [name, version] : aOptions.baseVersionsByService_) {
    const auto isForService = [&service = name](const ServiceFile& aFile) {
      return aFile.config_.name_.Text() == service;
    };
    if (std::none_of(aFiles.begin(), aFiles.end(), isForService)) {
      throw UsageError("--base names service " + name +
                       ", which is in none of the files; check the service name");
    }
  }
}

PublishPlan
MakePublishPlan(const CtlOptions& aOptions,
                std::span<const ServiceFile> aFiles,
                BlockingPlatformClient& aPlatform)
{
  std::vector<ServiceName> names;
  std::transform(aFiles.begin(), aFiles.end(), std::back_inserter(names), [](const auto& aFile) {
    return aFile.config_.name_;
  });
  const auto records = aPlatform.ReadRecords(names);
  PublishPlan plan;
  for (std::size_t i = 0; i < aFiles.size(); ++i) {
    const auto baseVersion = BaseVersionOf(aOptions, names[i]);
    if (records[i] && records[i]->body_ == aFiles[i].text_ &&
        baseVersion.value_or(records[i]->version_) == records[i]->version_) {
      plan.unchanged_.push_back(*records[i]);
      continue;
    }
    const std::uint64_t storedVersion = records[i] ? records[i]->version_ : 0;
    plan.changes_.push_back({ names[i], baseVersion.value_or(storedVersion), aFiles[i].text_ });
  }
  return plan;
}

// Returns the published records. Throws the CtlError that belongs to any other result.
std::vector<ConfigRecord>
RecordsOrThrow(const PublishResult& aResult)
{
  if (const auto* conflict = std::get_if<PublishConflict>(&aResult)) {
    throw PublishConflictError(
      "service " + conflict->Service().Text() + " is at version " +
      std::to_string(conflict->CurrentVersion()) + ", not at " +
      std::to_string(conflict->ExpectedVersion()) + "; it was changed by publish " +
      (conflict->CurrentPublishId().empty() ? "(unknown)" : conflict->CurrentPublishId()) +
      "; nothing was published; merge that change into the file and publish again");
  }
  if (const auto* unavailable = std::get_if<PublishUnavailable>(&aResult)) {
    throw PlatformUnavailableError(std::string(unavailable->what()) +
                                   "; nothing was published; check the platform and try again");
  }
  if (const auto* unknown = std::get_if<PublishUnknown>(&aResult)) {
    throw PublishUnknownError(std::string(unknown->what()) +
                              "; the publish may be in effect; run the same command again, which "
                              "publishes only what is not in effect yet");
  }
  return std::get<Published>(aResult).records_;
}

// Shuffles the instances, then moves one instance of each availability zone to the front.
void
SpreadOverZones(std::vector<AdminTarget>& aTargets)
{
  std::shuffle(aTargets.begin(), aTargets.end(), std::mt19937(std::random_device()()));
  std::set<std::string> zones;
  std::stable_partition(aTargets.begin(), aTargets.end(), [&](const AdminTarget& aTarget) {
    return zones.insert(aTarget.zone_).second;
  });
}

// Sends published records to instances. Returns the names of those that accepted all of them.
std::vector<std::string>
Announce(const CtlOptions& aOptions, std::span<const ConfigRecord> aRecords, std::ostream& aErrors)
{
  std::vector<AdminTarget> targets;
  try {
    targets = ResolveAdminTargets(aOptions);
  } catch (const PlatformUnavailableError&) {
    aErrors << "boragepierctl: the instance list cannot be read; the publish was not announced, "
               "instances take it from the store\n";
    return {};
  }
  if (aOptions.adminEndpoints_.empty()) {
    SpreadOverZones(targets);
    targets.resize(std::min(targets.size(), kMaxAnnounceTargets));
  }
  std::set<std::string> failed;
  for (const ConfigRecord& record : aRecords) {
    const http::Request request{ "POST", "/config/announce", {}, EncodeConfigRecord(record) };
    for (const AdminResponse& response : SendToInstances(targets, request, kAnnounceTimeout)) {
      if (response.status_ != 200 && failed.insert(response.target_.name_).second) {
        aErrors << "boragepierctl: " << response.target_.name_ << " did not accept "
                << record.service_.View() << ": " << response.bodyOrError_ << "\n";
      }
    }
  }
  std::vector<std::string> announcedTo;
  for (const AdminTarget& target : targets) {
    if (!failed.contains(target.name_)) {
      announcedTo.push_back(target.name_);
    }
  }
  return announcedTo;
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
WriteReport(const CtlOptions& aOptions,
            std::span<const ConfigRecord> aPublished,
            const PublishPlan& aPlan,
            std::span<const std::string> aAnnouncedTo,
            std::ostream& aOutput)
{
  if (aOptions.json_) {
    aOutput << json{
      { "published", VersionsJson(aPublished) },
      { "unchanged", VersionsJson(aPlan.unchanged_) },
      { "announcedTo", aAnnouncedTo }
    }.dump() << "\n";
    return;
  }
  for (const ConfigRecord& record : aPublished) {
    aOutput << "published " << record.service_.View() << " version " << record.version_ << "\n";
  }
  for (const ConfigRecord& record : aPlan.unchanged_) {
    aOutput << "unchanged " << record.service_.View() << " version " << record.version_ << "\n";
  }
  for (const std::string& name : aAnnouncedTo) {
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
  if (aOptions.operands_.empty() || !aOptions.platformEndpoint_) {
    throw UsageError("publish needs a directory and --platform; for example boragepierctl publish "
                     "services/ --platform 10.0.0.5:9000");
  }
  const auto files = ReadServiceFiles(FindServiceFiles(aOptions.operands_));
  CheckBaseVersions(aOptions, files);
  BlockingPlatformClient platform(*aOptions.platformEndpoint_, aOptions.timeout_);
  const PublishPlan plan = MakePublishPlan(aOptions, files, platform);
  std::vector<ConfigRecord> published;
  std::vector<std::string> announcedTo;
  if (!plan.changes_.empty()) {
    try {
      published = RecordsOrThrow(platform.Publish(
        { .publishId_ = NewPublishId(aOptions.operatorName_), .changes_ = plan.changes_ }));
    } catch (const PublishRequestError& error) {
      throw FilesInvalidError(std::string(error.what()) + "; nothing was published");
    }
    announcedTo = Announce(aOptions, published, aErrors);
  }
  WriteReport(aOptions, published, plan, announcedTo, aOutput);
}

} // namespace boragepier::ctl
