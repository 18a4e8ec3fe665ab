#include "apps/boragepierctl/ctl.h"

#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "apps/boragepierctl/blocking_calls.h"
#include "boragepier/admin/admin_server.h"
#include "boragepier/platform/instance_codec.h"
#include "testing/platform/platform_server.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::ctl {

namespace {

using nlohmann::json;
using testing::PlatformServer;
namespace fs = std::filesystem;

// Runs the simulated platform server in its own thread.
class PlatformThread
{
public:
  PlatformThread()
    : server_(std::make_unique<PlatformServer>(loop_))
    , port_(server_->Listen("127.0.0.1", 0))
    , thread_([this] { loop_.Run(); })
  {
  }
  ~PlatformThread()
  {
    loop_.Post([this] {
      server_.reset();
      loop_.Stop();
    });
    thread_.join();
  }
  PlatformThread(const PlatformThread&) = delete;
  PlatformThread& operator=(const PlatformThread&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  void SendToPlatform(const std::string& aMethod,
                      const std::string& aTarget,
                      const std::string& aBody)
  {
    const AdminTarget target{ { "127.0.0.1", port_ }, "platform", "" };
    const auto responses =
      SendToInstances({ &target, 1 }, { aMethod, aTarget, {}, aBody }, std::chrono::seconds(30));
    CHECK_EQUAL(200, responses[0].status_);
  }

private:
  net::EventLoop loop_;
  std::unique_ptr<PlatformServer> server_;
  std::uint16_t port_;
  std::thread thread_;
};

// Admin server of an instance, without the rest of the instance.
struct FakeInstance
{
  explicit FakeInstance(const std::string& aId)
  {
    status_.id_ = InstanceId(aId);
    status_.ready_ = true;
    status_.services_ = { { ServiceName("orders"), 3, 2, 0 } };
  }

  InstanceStatus status_;
  Metrics metrics_;
  ExplainStore explain_{ 8 };
  std::mutex mutex_;
  std::vector<ConfigRecord> announced_;
  AdminServer server_{ "127.0.0.1",
                       0,
                       AdminHooksBuilder()
                         .WithStatus([this] {
                           const std::lock_guard lock(mutex_);
                           return status_;
                         })
                         .WithAnnounce([this](const ConfigRecord& aRecord) {
                           const std::lock_guard lock(mutex_);
                           announced_.push_back(aRecord);
                           return AnnounceResult::Accepted;
                         })
                         .WithMetrics(metrics_)
                         .WithExplain(explain_)
                         .Build() };

  void SetReady(bool aReady, const std::string& aReason)
  {
    const std::lock_guard lock(mutex_);
    status_.ready_ = aReady;
    status_.notReadyReason_ = aReason;
  }
  void SetVersion(std::uint64_t aVersion)
  {
    const std::lock_guard lock(mutex_);
    status_.services_[0].version_ = aVersion;
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(server_.Port()); }
  // Returns the instance's entry for the platform's list.
  std::string EncodedListEntry() const
  {
    ListedProcess process;
    process.id_ = status_.id_.Text();
    process.role_ = "entry";
    process.address_ = "127.0.0.1";
    process.adminPort_ = server_.Port();
    return platform::EncodeProcess(process);
  }
};

struct CommandResult
{
  ExitCode code_;
  std::string output_;
  std::string errors_;
};

CommandResult
RunCommandLine(const std::vector<std::string>& aArguments)
{
  std::ostringstream output;
  std::ostringstream errors;
  const ExitCode code = RunCtl(aArguments, output, errors);
  return { code, output.str(), errors.str() };
}

void
CheckResult(const CommandResult& aResult, ExitCode aCode, const std::string& aExpectedText)
{
  const std::string allOutput = aResult.output_ + aResult.errors_;
  CHECK_TEXT(aResult.code_ == aCode, allOutput.c_str());
  CHECK_TEXT(allOutput.find(aExpectedText) != std::string::npos,
             (allOutput + " lacks " + aExpectedText).c_str());
  CHECK_TEXT(aCode == ExitCode::Ok || !aResult.errors_.empty(), "no message on the error stream");
}

std::string
ServiceFileText(const std::string& aName, const std::string& aMoreText = {})
{
  return "[service]\nname = " + aName + "\npath-prefix = /" + aName + "/\n" + aMoreText;
}

} // namespace

TEST_GROUP(Ctl)
{
  fs::path directory_;

  void setup() override
  {
    std::string name = (fs::temp_directory_path() / "boragepierctl-XXXXXX").string();
    CHECK(mkdtemp(name.data()) != nullptr);
    directory_ = name;
  }
  void teardown() override
  {
    fs::remove_all(directory_);
  }

  std::string WriteFile(const std::string& aName, const std::string& aText)
  {
    fs::create_directories((directory_ / aName).parent_path());
    std::ofstream(directory_ / aName) << aText;
    return (directory_ / aName).string();
  }
  CommandResult Publish(const PlatformThread& aPlatform,
                        std::vector<std::string> aMoreArguments = {})
  {
    aMoreArguments.insert(aMoreArguments.begin(),
                          { "publish", directory_.string(), "--platform", aPlatform.Address() });
    return RunCommandLine(aMoreArguments);
  }
};

TEST(Ctl, InvalidArgumentsAreUsageErrors)
{
  for (const std::vector<std::string>& arguments :
       { std::vector<std::string>{},
         { "frob" },
         { "check" },
         { "publish", "x" },
         { "status" },
         { "explain", "--instance", "127.0.0.1:1" },
         { "explain", "a", "--last", "1", "--instance", "127.0.0.1:1" },
         { "status", "--instance", "here" },
         { "status", "--unknown" },
         { "explain", "--last", "many" },
         { "publish", "x", "--platform", "127.0.0.1:1", "--base", "x=y" } }) {
    CheckResult(RunCommandLine(arguments), ExitCode::Usage, "boragepierctl: ");
  }
  CheckResult(RunCommandLine({ "--help" }), ExitCode::Ok, "Exit codes:");
}

// InfoOf() indexes the table by exit code, so an entry out of order would describe another code.
TEST(Ctl, ExitCodesMatchTheirTableIndex)
{
  int number = 0;
  for (const ExitCodeInfo& info : ExitCodes()) {
    CHECK_EQUAL(number, static_cast<int>(info.code_));
    ++number;
  }
}

TEST(Ctl, CheckReportsTheFirstErrorOfEachFile)
{
  const std::string validFile = WriteFile("a.service.ini", ServiceFileText("a"));
  const std::string unknownKeyFile = WriteFile("b.service.ini", ServiceFileText("b", "x = 1\n"));
  const std::string outOfRangeFile =
    WriteFile("c.service.ini", ServiceFileText("c", "[queue]\nlimit = -1\n"));
  CheckResult(RunCommandLine({ "check", validFile }), ExitCode::Ok, "accepted, service a");
  const CommandResult result =
    RunCommandLine({ "check", validFile, unknownKeyFile, outOfRangeFile, "no-such-file" });
  CheckResult(result, ExitCode::FilesInvalid, unknownKeyFile + ":4: service.x: unknown key");
  CheckResult(result, ExitCode::FilesInvalid, outOfRangeFile + ":5: queue.limit");
  CheckResult(result, ExitCode::FilesInvalid, "no-such-file: the file cannot be read");
}

// Of two files with the same service name or path prefix, only one could take effect.
TEST(Ctl, DuplicateServiceNamesAndPathPrefixesAreRejected)
{
  WriteFile("a.service.ini", ServiceFileText("a"));
  WriteFile("sub/b.service.ini", ServiceFileText("a"));
  const PlatformThread platform;
  const CommandResult result = Publish(platform);
  CheckResult(result, ExitCode::FilesInvalid, "service.name: value \"a\" is also in");
  CheckResult(result, ExitCode::FilesInvalid, "service.path-prefix: value \"/a/\" is also in");
}

TEST(Ctl, PublishSkipsUnchangedServicesAndAnnouncesTheOthers)
{
  PlatformThread platform;
  FakeInstance instance("i-1");
  platform.SendToPlatform("PUT", "/instances/i-1", instance.EncodedListEntry());
  WriteFile("a.service.ini", ServiceFileText("a"));
  WriteFile("sub/b.service.ini", ServiceFileText("b"));
  WriteFile("ignored.ini", "nonsense");
  CheckResult(Publish(platform), ExitCode::Ok, "announced to i-1");
  CHECK_EQUAL(2U, instance.announced_.size());
  WriteFile("sub/b.service.ini", ServiceFileText("b", "class = background\n"));
  const json report = json::parse(Publish(platform, { "--json" }).output_);
  CHECK(report.at("published") == json::parse(R"([{"service":"b","version":2}])"));
  CHECK(report.at("unchanged") == json::parse(R"([{"service":"a","version":1}])"));
  CHECK_EQUAL(3U, instance.announced_.size());
  CHECK(instance.announced_[2].service_.View() == "b");
  CHECK_EQUAL(2U, instance.announced_[2].version_);
  CheckResult(Publish(platform), ExitCode::Ok, "unchanged b version 2");
}

// Guards against a publish that takes effect only in part.
TEST(Ctl, InvalidFilePreventsTheWholePublish)
{
  const PlatformThread platform;
  WriteFile("a.service.ini", ServiceFileText("a"));
  WriteFile("b.service.ini", "nonsense");
  CheckResult(Publish(platform), ExitCode::FilesInvalid, "b.service.ini:1");
  fs::remove(directory_ / "b.service.ini");
  CheckResult(Publish(platform), ExitCode::Ok, "published a version 1");
}

// Guards against an operator who overwrites another operator's change unknowingly.
TEST(Ctl, PublishConflictNamesTheOtherPublish)
{
  const PlatformThread platform;
  WriteFile("a.service.ini", ServiceFileText("a"));
  CheckResult(Publish(platform), ExitCode::Ok, "version 1");
  WriteFile("a.service.ini", ServiceFileText("a", "class = background\n"));
  CheckResult(Publish(platform, { "--operator", "ann" }), ExitCode::Ok, "version 2");
  WriteFile("a.service.ini", ServiceFileText("a", "key-required = true\n"));
  const CommandResult conflict = Publish(platform, { "--base", "1", "--json" });
  CheckResult(conflict, ExitCode::PublishConflict, "it was changed by publish ann-");
  CHECK(json::parse(conflict.output_).at("error") == "publish-conflict");
  CheckResult(Publish(platform, { "--base", "a=2" }), ExitCode::Ok, "version 3");
  CheckResult(Publish(platform, { "--base", "b=2" }), ExitCode::Usage, "none of the files");
}

TEST(Ctl, PlatformFaultsMapToExitCodes)
{
  PlatformThread platform;
  WriteFile("a.service.ini", ServiceFileText("a"));
  platform.SendToPlatform("POST", "/control", R"({"table_down":true})");
  CheckResult(Publish(platform), ExitCode::PlatformUnavailable, "nothing was changed");
  platform.SendToPlatform(
    "POST", "/control", R"({"table_down":false,"lose_next_write_answers":1})");
  CheckResult(Publish(platform), ExitCode::Ok, "published a version 1");
  CheckResult(
    RunCommandLine(
      { "publish", directory_.string(), "--platform", "127.0.0.1:1", "--timeout-ms", "500" }),
    ExitCode::PlatformUnavailable,
    "127.0.0.1:1");
}

// Guards against a publish that fails because its announcement to instances fails.
TEST(Ctl, PublishSucceedsIfInstancesAreUnreachable)
{
  PlatformThread platform;
  WriteFile("a.service.ini", ServiceFileText("a"));
  platform.SendToPlatform("POST", "/control", R"({"list_down":true})");
  CheckResult(Publish(platform), ExitCode::Ok, "instance list cannot be read");
  WriteFile("a.service.ini", ServiceFileText("a", "class = background\n"));
  CheckResult(Publish(platform, { "--instance", "127.0.0.1:1" }),
              ExitCode::Ok,
              "127.0.0.1:1 did not accept a");
}

TEST(Ctl, StatusShowsVersionsAndProblems)
{
  PlatformThread platform;
  FakeInstance first("i-1");
  FakeInstance second("i-2");
  platform.SendToPlatform("PUT", "/instances/i-1", first.EncodedListEntry());
  platform.SendToPlatform("PUT", "/instances/i-2", second.EncodedListEntry());
  const std::vector<std::string> status = { "status", "--platform", platform.Address() };
  CheckResult(RunCommandLine(status), ExitCode::Ok, "i-1 zone= ready=yes peers=0 orders=3");
  second.SetVersion(4);
  CheckResult(RunCommandLine(status), ExitCode::Ok, "versions differ: orders from 3 to 4");
  second.SetReady(false, "draining");
  CheckResult(RunCommandLine(status), ExitCode::InstanceProblem, "reason=\"draining\"");
  const CommandResult missing = RunCommandLine(
    { "status", "--json", "--instance", first.Address(), "--instance", "127.0.0.1:1" });
  CheckResult(missing, ExitCode::InstanceProblem, "127.0.0.1:1");
  const json report = json::parse(missing.output_.substr(0, missing.output_.find('\n')));
  CHECK(report.at("instances").at(0).at("instance") == "i-1");
  CHECK(report.at("failures").at(0).at("instance") == "127.0.0.1:1");
}

TEST(Ctl, ExplainQueriesAllInstances)
{
  FakeInstance first("i-1");
  FakeInstance second("i-2");
  ExplainRecord record;
  record.id_ = RequestId("i-2-7");
  record.method_ = "GET";
  record.path_ = "/orders/1";
  record.team_ = TeamName("north");
  CandidateInfo candidate;
  candidate.evacuated_ = true;
  candidate.coldFor_ = std::chrono::milliseconds(1500);
  record.attempts_.push_back({ .upstream_ = UpstreamId("u-1"),
                               .retryReason_ = RetryReason::ConnectFailed,
                               .outcome_ = Outcome::Answered,
                               .status_ = 200,
                               .candidates_ = { candidate } });
  second.explain_.Add(record);
  const auto explain = [&](std::vector<std::string> aMoreArguments) {
    aMoreArguments.insert(
      aMoreArguments.begin(),
      { "explain", "--instance", first.Address(), "--instance", second.Address() });
    return RunCommandLine(aMoreArguments);
  };
  CheckResult(explain({ "i-2-7" }), ExitCode::Ok, "attempt 1 at u-1 (connect-failed)");
  CheckResult(explain({ "--last", "5" }), ExitCode::Ok, "i-2-7 GET /orders/1");
  CheckResult(explain({ "i-2-7" }), ExitCode::Ok, " team=north ");
  CheckResult(explain({ "i-2-7" }), ExitCode::Ok, " evacuated cold=1500ms");
  CHECK(json::parse(explain({ "i-2-7", "--json" }).output_).at("requestId") == "i-2-7");
  CheckResult(explain({ "i-9" }), ExitCode::RequestUnknown, "none of 2 instances");
  CheckResult(explain({ "--last", "999" }), ExitCode::InstanceProblem, "last=N");
}

} // namespace boragepier::ctl
