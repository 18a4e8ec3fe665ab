#include "apps/boragepierctl/ctl.h"

#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "apps/boragepierctl/remote.h"
#include "boragepier/admin/admin_server.h"
#include "boragepier/platform/instance_codec.h"
#include "testing/platform/platform_server.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::ctl {

namespace {

using nlohmann::json;
using testing::PlatformServer;
namespace fs = std::filesystem;

// The platform's stand-in in a thread.
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
  void Call(const std::string& aMethod, const std::string& aTarget, const std::string& aBody)
  {
    const AdminTarget target{ { "127.0.0.1", port_ }, "platform", "" };
    const auto answers =
      AskInstances({ &target, 1 }, { aMethod, aTarget, {}, aBody }, std::chrono::seconds(30));
    CHECK_EQUAL(200, answers[0].status_);
  }

private:
  net::EventLoop loop_;
  std::unique_ptr<PlatformServer> server_;
  std::uint16_t port_;
  std::thread thread_;
};

// An instance of which only the admin surface exists.
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
  std::string Listed() const
  {
    ListedProcess process;
    process.id_ = status_.id_.Text();
    process.role_ = "entry";
    process.address_ = "127.0.0.1";
    process.adminPort_ = server_.Port();
    return platform::EncodeProcess(process);
  }
};

struct Result
{
  ExitCode code_;
  std::string output_;
  std::string errors_;
};

Result
Ctl(const std::vector<std::string>& aArguments)
{
  std::ostringstream output;
  std::ostringstream errors;
  const ExitCode code = RunCtl(aArguments, output, errors);
  return { code, output.str(), errors.str() };
}

void
CheckResult(const Result& aResult, ExitCode aCode, const std::string& aPart)
{
  const std::string all = aResult.output_ + aResult.errors_;
  CHECK_TEXT(aResult.code_ == aCode, all.c_str());
  CHECK_TEXT(all.find(aPart) != std::string::npos, (all + " lacks " + aPart).c_str());
  CHECK_TEXT(aCode == ExitCode::Ok || !aResult.errors_.empty(), "no message on the error output");
}

std::string
Body(const std::string& aName, const std::string& aMore = {})
{
  return "[service]\nname = " + aName + "\npath-prefix = /" + aName + "/\n" + aMore;
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

  std::string Write(const std::string& aName, const std::string& aText)
  {
    fs::create_directories((directory_ / aName).parent_path());
    std::ofstream(directory_ / aName) << aText;
    return (directory_ / aName).string();
  }
  Result Publish(const PlatformThread& aPlatform, std::vector<std::string> aMore = {})
  {
    aMore.insert(aMore.begin(),
                 { "publish", directory_.string(), "--platform", aPlatform.Address() });
    return Ctl(aMore);
  }
};

TEST(Ctl, WrongArgumentsAreExplained)
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
    CheckResult(Ctl(arguments), ExitCode::Usage, "boragepierctl: ");
  }
  CheckResult(Ctl({ "--help" }), ExitCode::Ok, "Exit codes:");
}

// Guards against an exit code whose entry in the table is that of another.
TEST(Ctl, ExitCodesAreInOrder)
{
  int number = 0;
  for (const ExitCodeInfo& info : ExitCodes()) {
    CHECK_EQUAL(number, static_cast<int>(info.code_));
    ++number;
  }
}

TEST(Ctl, CheckNamesTheFirstMistakeOfEveryFile)
{
  const std::string good = Write("a.service.ini", Body("a"));
  const std::string bad = Write("b.service.ini", Body("b", "x = 1\n"));
  const std::string worse = Write("c.service.ini", Body("c", "[queue]\nlimit = -1\n"));
  CheckResult(Ctl({ "check", good }), ExitCode::Ok, "accepted, service a");
  const Result result = Ctl({ "check", good, bad, worse, "no-such-file" });
  CheckResult(result, ExitCode::FilesInvalid, bad + ":4: service.x: unknown key");
  CheckResult(result, ExitCode::FilesInvalid, worse + ":5: queue.limit");
  CheckResult(result, ExitCode::FilesInvalid, "no-such-file: the file cannot be read");
}

// Guards against two files for one service or one path: one of them would be lost.
TEST(Ctl, FilesThatContradictEachOtherAreRefused)
{
  Write("a.service.ini", Body("a"));
  Write("sub/b.service.ini", Body("a"));
  const PlatformThread platform;
  const Result result = Publish(platform);
  CheckResult(result, ExitCode::FilesInvalid, "service.name: value \"a\" is also in");
  CheckResult(result, ExitCode::FilesInvalid, "service.path-prefix: value \"/a/\" is also in");
}

TEST(Ctl, PublishSkipsWhatIsUnchangedAndTellsInstances)
{
  PlatformThread platform;
  FakeInstance instance("i-1");
  platform.Call("PUT", "/instances/i-1", instance.Listed());
  Write("a.service.ini", Body("a"));
  Write("sub/b.service.ini", Body("b"));
  Write("ignored.ini", "nonsense");
  CheckResult(Publish(platform), ExitCode::Ok, "announced to i-1");
  CHECK_EQUAL(2U, instance.announced_.size());
  Write("sub/b.service.ini", Body("b", "class = background\n"));
  const json report = json::parse(Publish(platform, { "--json" }).output_);
  CHECK(report.at("published") == json::parse(R"([{"service":"b","version":2}])"));
  CHECK(report.at("unchanged") == json::parse(R"([{"service":"a","version":1}])"));
  CHECK_EQUAL(3U, instance.announced_.size());
  CHECK(instance.announced_[2].service_.View() == "b");
  CHECK_EQUAL(2U, instance.announced_[2].version_);
  CheckResult(Publish(platform), ExitCode::Ok, "unchanged b version 2");
}

// Guards against a publish of which only a part is in force.
TEST(Ctl, OneBadFileKeepsAllBack)
{
  const PlatformThread platform;
  Write("a.service.ini", Body("a"));
  Write("b.service.ini", "nonsense");
  CheckResult(Publish(platform), ExitCode::FilesInvalid, "b.service.ini:1");
  fs::remove(directory_ / "b.service.ini");
  CheckResult(Publish(platform), ExitCode::Ok, "published a version 1");
}

// Guards against an operator who overwrites another one's change without noticing.
TEST(Ctl, PublishThatLosesNamesTheWinner)
{
  const PlatformThread platform;
  Write("a.service.ini", Body("a"));
  CheckResult(Publish(platform), ExitCode::Ok, "version 1");
  Write("a.service.ini", Body("a", "class = background\n"));
  CheckResult(Publish(platform, { "--operator", "ann" }), ExitCode::Ok, "version 2");
  Write("a.service.ini", Body("a", "key-required = true\n"));
  const Result lost = Publish(platform, { "--base", "1", "--json" });
  CheckResult(lost, ExitCode::PublishConflict, "the winner is publish ann-");
  CHECK(json::parse(lost.output_).at("error") == "publish-conflict");
  CheckResult(Publish(platform, { "--base", "a=2" }), ExitCode::Ok, "version 3");
  CheckResult(Publish(platform, { "--base", "b=2" }), ExitCode::Usage, "none of the files");
}

TEST(Ctl, PlatformFaultsHaveTheirExitCodes)
{
  PlatformThread platform;
  Write("a.service.ini", Body("a"));
  platform.Call("POST", "/control", R"({"table_down":true})");
  CheckResult(Publish(platform), ExitCode::PlatformUnavailable, "nothing was changed");
  platform.Call("POST", "/control", R"({"table_down":false,"lose_next_write_answers":1})");
  CheckResult(Publish(platform), ExitCode::Ok, "published a version 1");
  CheckResult(
    Ctl({ "publish", directory_.string(), "--platform", "127.0.0.1:1", "--timeout-ms", "500" }),
    ExitCode::PlatformUnavailable,
    "127.0.0.1:1");
}

// Guards against a publish that fails because instances cannot be told.
TEST(Ctl, UnreachableInstancesDoNotStopAPublish)
{
  PlatformThread platform;
  Write("a.service.ini", Body("a"));
  platform.Call("POST", "/control", R"({"list_down":true})");
  CheckResult(Publish(platform), ExitCode::Ok, "instance list cannot be read");
  Write("a.service.ini", Body("a", "class = background\n"));
  CheckResult(
    Publish(platform, { "--instance", "127.0.0.1:1" }), ExitCode::Ok, "127.0.0.1:1 did not take");
}

TEST(Ctl, StatusShowsVersionsAndProblems)
{
  PlatformThread platform;
  FakeInstance first("i-1");
  FakeInstance second("i-2");
  platform.Call("PUT", "/instances/i-1", first.Listed());
  platform.Call("PUT", "/instances/i-2", second.Listed());
  const std::vector<std::string> status = { "status", "--platform", platform.Address() };
  CheckResult(Ctl(status), ExitCode::Ok, "i-1 zone= ready=yes peers=0 orders=3");
  second.SetVersion(4);
  CheckResult(Ctl(status), ExitCode::Ok, "versions differ: orders from 3 to 4");
  second.SetReady(false, "draining");
  CheckResult(Ctl(status), ExitCode::InstanceProblem, "reason=\"draining\"");
  const Result missing =
    Ctl({ "status", "--json", "--instance", first.Address(), "--instance", "127.0.0.1:1" });
  CheckResult(missing, ExitCode::InstanceProblem, "127.0.0.1:1");
  const json report = json::parse(missing.output_.substr(0, missing.output_.find('\n')));
  CHECK(report.at("instances").at(0).at("instance") == "i-1");
  CHECK(report.at("failures").at(0).at("instance") == "127.0.0.1:1");
}

TEST(Ctl, ExplainAsksAllInstances)
{
  FakeInstance first("i-1");
  FakeInstance second("i-2");
  ExplainRecord record;
  record.id_ = RequestId("i-2-7");
  record.method_ = "GET";
  record.path_ = "/orders/1";
  record.attempts_.push_back({ .upstream_ = UpstreamId("u-1"),
                               .retryReason_ = RetryReason::ConnectFailed,
                               .outcome_ = Outcome::Answered,
                               .status_ = 200,
                               .candidates_ = { CandidateInfo() } });
  second.explain_.Add(record);
  const auto explain = [&](std::vector<std::string> aMore) {
    aMore.insert(aMore.begin(),
                 { "explain", "--instance", first.Address(), "--instance", second.Address() });
    return Ctl(aMore);
  };
  CheckResult(explain({ "i-2-7" }), ExitCode::Ok, "attempt 1 at u-1 (connect-failed)");
  CheckResult(explain({ "--last", "5" }), ExitCode::Ok, "i-2-7 GET /orders/1");
  CHECK(json::parse(explain({ "i-2-7", "--json" }).output_).at("requestId") == "i-2-7");
  CheckResult(explain({ "i-9" }), ExitCode::RequestUnknown, "none of 2 instances");
  CheckResult(explain({ "--last", "999" }), ExitCode::InstanceProblem, "last=N");
}

} // namespace boragepier::ctl
