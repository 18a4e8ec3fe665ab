#include "testing/e2e/fleet.h"

#include <unistd.h>

#include <fstream>
#include <map>
#include <thread>

#include <nlohmann/json.hpp>

namespace boragepier::testing {

namespace {

using nlohmann::json;

constexpr const char* kServiceFolder = "services";
constexpr auto kPollInterval = std::chrono::milliseconds(20);

std::filesystem::path
MakeDirectory()
{
  std::string name = (std::filesystem::temp_directory_path() / "boragepier-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw ChildProcessError("cannot create a directory for settings");
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
WaitUntil(const std::string& aWhat, Condition aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + ChildProcess::kPatience;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw ChildProcessError("waited too long until " + aWhat);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void
CheckApplied(const http::SendResult& aResult, const std::string& aWhat)
{
  if (aResult.outcome_ != Outcome::Answered || aResult.response_.status_ >= 300) {
    throw ChildProcessError(aWhat + " was refused: " + aResult.response_.body_);
  }
}

} // namespace

Fleet::Fleet()
  : directory_(MakeDirectory())
  , platform_(std::make_unique<ChildProcess>(BORAGEPIER_TESTING_PLATFORM,
                                             std::vector<std::string>{ "--port", "0" }))
  , platformPort_(platform_->ReadPort("listening"))
  , platformPortOfInstances_(platformPort_)
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
Fleet::AddInstance(const std::string& aSettings)
{
  auto instance = std::make_unique<RunningInstance>();
  instance->id_ = "i" + std::to_string(instances_.size() + 1);
  const auto file = directory_ / (instance->id_ + ".ini");
  WriteFile(file,
            "[instance]\nid = " + instance->id_ +
              "\nzone = a\n[platform]\naddress = 127.0.0.1\nport = " +
              std::to_string(platformPortOfInstances_) + "\n" + aSettings);
  instance->process_ = std::make_unique<ChildProcess>(
    BORAGEPIER_BINARY, std::vector<std::string>{ "--settings", file.string() });
  instance->caller_ = instance->process_->ReadPort("listening");
  instance->peer_ = instance->process_->ReadPort("peer");
  instance->admin_ = instance->process_->ReadPort("admin");
  Register(*instance, false);
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
  const auto folder = directory_ / kServiceFolder;
  std::filesystem::create_directories(folder);
  WriteFile(folder / (aService + ".service.ini"), aText);
}

int
Fleet::PublishServiceFiles()
{
  return PublishDirectory(directory_ / kServiceFolder);
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
  CheckApplied(client_.Put(platformPort_, "POST", "/control", aJson), "the platform's switch");
}

void
Fleet::ControlUpstream(const RunningUpstream& aUpstream, const std::string& aJson)
{
  CheckApplied(client_.Put(aUpstream.port_, "POST", "/control/mode", aJson), "the upstream's mode");
}

void
Fleet::Register(const RunningInstance& aInstance, bool aLeaving)
{
  const json entry{ { "id", aInstance.id_ },
                    { "role", "entry" },
                    { "service", "" },
                    { "address", "127.0.0.1" },
                    { "port", aInstance.caller_ },
                    { "peer_port", aInstance.peer_ },
                    { "admin_port", aInstance.admin_ },
                    { "zone", "a" },
                    { "start_number", 1 },
                    { "leaving", aLeaving } };
  PutProcess(aInstance.id_, entry.dump());
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
  PutProcess(aId, entry.dump());
}

void
Fleet::PutProcess(const std::string& aId, const std::string& aJson)
{
  CheckApplied(client_.Put(platformPort_, "PUT", "/instances/" + aId, aJson), "a registration");
}

bool
Fleet::ServiceReached(const RunningInstance& aInstance,
                      const std::string& aService,
                      const std::string& aField,
                      std::uint64_t aValue)
{
  const json status = json::parse(client_.Get(aInstance.admin_, "/status"), nullptr, false);
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
  WaitUntil("upstreams are known",
            [&] { return ServiceReached(aInstance, aService, "upstreams", aCount); });
}

void
Fleet::WaitForVersion(const std::string& aService, std::uint64_t aVersion)
{
  for (const auto& instance : instances_) {
    WaitUntil("a version is in force",
              [&] { return ServiceReached(*instance, aService, "version", aVersion); });
  }
}

void
Fleet::WaitForStatus(const RunningInstance& aInstance, const std::string& aTarget, int aStatus)
{
  WaitUntil("a request is answered with " + std::to_string(aStatus), [&] {
    return client_.Send(aInstance.caller_, { "GET", aTarget, {}, "" }).response_.status_ == aStatus;
  });
}

int
Fleet::TotalRuns()
{
  int total = 0;
  for (const auto& upstream : upstreams_) {
    const json counted = json::parse(client_.Get(upstream->port_, "/control/runs"), nullptr, false);
    total += counted.is_object() ? counted.value("total", 0) : 0;
  }
  return total;
}

std::vector<std::pair<std::string, int>>
Fleet::RunsByKey()
{
  std::map<std::string, int> runs;
  for (const auto& upstream : upstreams_) {
    const json counted = json::parse(client_.Get(upstream->port_, "/control/runs"), nullptr, false);
    if (counted.is_discarded()) {
      continue;
    }
    for (const auto& [key, count] : counted["runs"].items()) {
      runs[key] += count.get<int>();
    }
  }
  return { runs.begin(), runs.end() };
}

std::string
ServiceText(const std::string& aName, const std::string& aPath, const std::string& aMore)
{
  return "[service]\nname = " + aName + "\npath-prefix = " + aPath + "\n" + aMore;
}

} // namespace boragepier::testing
