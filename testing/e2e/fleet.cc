#include "testing/e2e/fleet.h"

#include <unistd.h>

#include <fstream>
#include <map>
#include <thread>

#include <nlohmann/json.hpp>

namespace boragepier::testing {

namespace {

using nlohmann::json;

constexpr const char* kServiceDirectory = "services";
constexpr auto kPollInterval = std::chrono::milliseconds(20);

std::filesystem::path
MakeTemporaryDirectory()
{
  std::string name = (std::filesystem::temp_directory_path() / "boragepier-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw ChildProcessError("cannot create a temporary directory for settings");
  }
  return name;
}

void
WriteFile(const std::filesystem::path& aPath, const std::string& aText)
{
  std::ofstream(aPath) << aText;
}

template<typename Condition>
void
WaitUntil(const std::string& aDescription, Condition aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + ChildProcess::kTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw ChildProcessError("timed out waiting until " + aDescription);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void
ThrowUnlessApplied(const http::SendResult& aResult, const std::string& aDescription)
{
  if (aResult.outcome_ != Outcome::Answered || aResult.response_.status_ >= 300) {
    throw ChildProcessError(aDescription + " failed: " + aResult.response_.body_.Text());
  }
}

} // namespace

Fleet::Fleet()
  : directory_(MakeTemporaryDirectory())
  , platform_(std::make_unique<ChildProcess>(BORAGEPIER_TESTING_PLATFORM,
                                             std::vector<std::string>{ "--port", "0" }))
  , platformPort_(platform_->ReadPort("listening"))
  , instancePlatformPort_(platformPort_)
{
}

Fleet::~Fleet()
{
  instances_.clear();
  upstreams_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

RunningUpstream&
Fleet::AddUpstream(const std::string& aService, const std::vector<std::string>& aOptions)
{
  std::vector<std::string> options = { "--platform", "127.0.0.1:" + std::to_string(platformPort_) };
  options.insert(options.end(), aOptions.begin(), aOptions.end());
  upstreams_.push_back(
    StartUpstream("u" + std::to_string(upstreams_.size() + 1), aService, options));
  return *upstreams_.back();
}

std::unique_ptr<RunningUpstream>
Fleet::StartUpstream(const std::string& aId,
                     const std::string& aService,
                     const std::vector<std::string>& aOptions)
{
  std::vector<std::string> arguments = { "--port", "0", "--id",      aId,
                                         "--zone", "a", "--service", aService };
  arguments.insert(arguments.end(), aOptions.begin(), aOptions.end());
  auto upstream = std::make_unique<RunningUpstream>();
  upstream->id_ = aId;
  upstream->process_ = std::make_unique<ChildProcess>(BORAGEPIER_TESTING_UPSTREAM, arguments);
  upstream->port_ = upstream->process_->ReadPort("listening");
  return upstream;
}

RunningInstance&
Fleet::AddInstance(const std::string& aSettings, std::optional<DescriptorLimit> aLimit)
{
  auto instance = std::make_unique<RunningInstance>();
  instance->id_ = "i" + std::to_string(instances_.size() + 1);
  const auto file = directory_ / (instance->id_ + ".ini");
  WriteFile(file,
            "[instance]\nid = " + instance->id_ +
              "\nzone = a\n[platform]\naddress = 127.0.0.1\nport = " +
              std::to_string(instancePlatformPort_) + "\n" + aSettings);
  instance->process_ = std::make_unique<ChildProcess>(
    BORAGEPIER_BINARY, std::vector<std::string>{ "--settings", file.string() }, aLimit);
  instance->callerPort_ = instance->process_->ReadPort("listening");
  instance->peerPort_ = instance->process_->ReadPort("peer");
  instance->adminPort_ = instance->process_->ReadPort("admin");
  RegisterInstance(*instance, false);
  instances_.push_back(std::move(instance));
  return *instances_.back();
}

int
Fleet::Publish(const std::string& aService, const std::string& aText)
{
  WriteServiceFile(aService, aText);
  return PublishServiceFiles();
}

void
Fleet::WriteServiceFile(const std::string& aService, const std::string& aText)
{
  const auto directory = directory_ / kServiceDirectory;
  std::filesystem::create_directories(directory);
  WriteFile(directory / (aService + ".service.ini"), aText);
}

int
Fleet::PublishServiceFiles()
{
  return PublishDirectory(directory_ / kServiceDirectory);
}

int
Fleet::PublishDirectory(const std::filesystem::path& aDirectory)
{
  ChildProcess publish(
    BORAGEPIERCTL_BINARY,
    { "publish", aDirectory.string(), "--platform", "127.0.0.1:" + std::to_string(platformPort_) });
  publish.ReadToEnd();
  return publish.WaitForExit();
}

void
Fleet::ControlPlatform(const std::string& aJson)
{
  ThrowUnlessApplied(client_.SendJson(platformPort_, "POST", "/control", aJson),
                     "setting a fault of the platform");
}

void
Fleet::ControlUpstream(const RunningUpstream& aUpstream, const std::string& aJson)
{
  ThrowUnlessApplied(client_.SendJson(aUpstream.port_, "POST", "/control/mode", aJson),
                     "setting the mode of an upstream");
}

void
Fleet::RegisterInstance(const RunningInstance& aInstance, bool aLeaving)
{
  const json entry{ { "id", aInstance.id_ },
                    { "role", "entry" },
                    { "service", "" },
                    { "address", "127.0.0.1" },
                    { "port", aInstance.callerPort_ },
                    { "peer_port", aInstance.peerPort_ },
                    { "admin_port", aInstance.adminPort_ },
                    { "zone", "a" },
                    { "start_number", 1 },
                    { "leaving", aLeaving } };
  PutListEntry(aInstance.id_, entry.dump());
}

void
Fleet::RegisterUpstream(const std::string& aId,
                        const std::string& aService,
                        std::uint16_t aPort,
                        std::uint64_t aStartNumber,
                        bool aLeaving)
{
  const json entry{ { "id", aId },           { "role", "upstream" },
                    { "service", aService }, { "address", "127.0.0.1" },
                    { "port", aPort },       { "peer_port", 0 },
                    { "zone", "a" },         { "start_number", aStartNumber },
                    { "leaving", aLeaving } };
  PutListEntry(aId, entry.dump());
}

void
Fleet::PutListEntry(const std::string& aId, const std::string& aJson)
{
  ThrowUnlessApplied(client_.SendJson(platformPort_, "PUT", "/instances/" + aId, aJson),
                     "registering a process");
}

bool
Fleet::ServiceFieldIsAtLeast(const RunningInstance& aInstance,
                             const std::string& aService,
                             const std::string& aField,
                             std::uint64_t aValue)
{
  const json status = json::parse(client_.Get(aInstance.adminPort_, "/status"), nullptr, false);
  if (!status.is_object() || !status.contains("services")) {
    return false;
  }
  for (const json& service : status["services"]) {
    if (service.value("name", "") == aService && service.value(aField, 0U) >= aValue) {
      return true;
    }
  }
  return false;
}

void
Fleet::WaitForUpstreams(const RunningInstance& aInstance,
                        const std::string& aService,
                        std::uint64_t aCount)
{
  WaitUntil("an instance knows the expected number of upstreams",
            [&] { return ServiceFieldIsAtLeast(aInstance, aService, "upstreams", aCount); });
}

void
Fleet::WaitForVersion(const std::string& aService, std::uint64_t aVersion)
{
  for (const auto& instance : instances_) {
    WaitUntil("an instance uses the expected configuration version",
              [&] { return ServiceFieldIsAtLeast(*instance, aService, "version", aVersion); });
  }
}

void
Fleet::WaitForStatus(const RunningInstance& aInstance, const std::string& aTarget, int aStatus)
{
  WaitUntil("an instance responds with status " + std::to_string(aStatus), [&] {
    return client_.Send(aInstance.callerPort_, { "GET", aTarget, {}, "" }).response_.status_ ==
           aStatus;
  });
}

int
Fleet::TotalRuns()
{
  int total = 0;
  for (const auto& upstream : upstreams_) {
    const json runCounts =
      json::parse(client_.Get(upstream->port_, "/control/runs"), nullptr, false);
    total += runCounts.is_object() ? runCounts.value("total", 0) : 0;
  }
  return total;
}

std::vector<std::pair<std::string, int>>
Fleet::RunsByKey()
{
  std::map<std::string, int> runs;
  for (const auto& upstream : upstreams_) {
    const json runCounts =
      json::parse(client_.Get(upstream->port_, "/control/runs"), nullptr, false);
    if (runCounts.is_discarded()) {
      continue;
    }
    for (const auto& [key, count] : runCounts["runs"].items()) {
      runs[key] += count.get<int>();
    }
  }
  return { runs.begin(), runs.end() };
}

int
Fleet::MostRequestsInPause()
{
  int most = 0;
  for (const auto& upstream : upstreams_) {
    const json counts = json::parse(client_.Get(upstream->port_, "/control/pauses"));
    most = std::max(most, counts.at("mostInPause").get<int>());
  }
  return most;
}

std::string
MakeServiceFile(const std::string& aName, const std::string& aPath, const std::string& aExtraLines)
{
  return "[service]\nname = " + aName + "\npath-prefix = " + aPath + "\n" + aExtraLines;
}

} // namespace boragepier::testing
