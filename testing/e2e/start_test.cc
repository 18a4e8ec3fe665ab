#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "testing/e2e/child_process.h"
#include "testing/wire/raw_socket.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;

// Settings of an instance on free ports whose platform does not answer.
const std::string kSettings = "[instance]\nid = i1\nzone = a\n"
                              "[platform]\naddress = 127.0.0.1\nport = 9\n"
                              "[traffic]\ndrain-grace-ms = 0\ndrain-limit-ms = 1000\n"
                              "[log]\noutput = stdout\n";

std::string
WithListenPort(const std::string& aKey, std::uint16_t aPort)
{
  std::string text = kSettings;
  return text.append("[listen]\n").append(aKey).append(" = ").append(std::to_string(aPort) + "\n");
}

std::string
ReadFile(const fs::path& aPath)
{
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

template<typename Condition>
void
WaitUntil(Condition aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + ChildProcess::kTimeout;
  while (!aCondition()) {
    CHECK_TEXT(std::chrono::steady_clock::now() < deadline, "timed out");
    std::this_thread::sleep_for(std::chrono::microseconds(100));
  }
}

} // namespace

// Starts the program with a settings file in a temporary directory.
TEST_GROUP(Start)
{
  fs::path directory_;

  void setup() override
  {
    std::string name = (fs::temp_directory_path() / "boragepier-start-XXXXXX").string();
    CHECK(mkdtemp(name.data()) != nullptr);
    directory_ = name;
  }

  void teardown() override
  {
    std::error_code ignored;
    fs::remove_all(directory_, ignored);
  }

  fs::path SettingsFile() const
  {
    return directory_ / "instance.ini";
  }

  void WriteSettings(const std::string& aText) const
  {
    std::ofstream(SettingsFile()) << aText;
  }

  std::unique_ptr<ChildProcess> StartProgram() const
  {
    return std::make_unique<ChildProcess>(
      BORAGEPIER_BINARY, std::vector<std::string>{ "--settings", SettingsFile().string() });
  }

  // Starts the program and returns when the dynamic loader calls the first initializer of a
  // library.
  std::unique_ptr<ChildProcess> StartUpToTheFirstInitializer() const
  {
    setenv("LD_DEBUG", "files", 1);
    setenv("LD_DEBUG_OUTPUT", (directory_ / "loader").c_str(), 1);
    auto program = StartProgram();
    unsetenv("LD_DEBUG");
    unsetenv("LD_DEBUG_OUTPUT");
    const fs::path trace = directory_ / ("loader." + std::to_string(program->Pid()));
    WaitUntil([&] { return ReadFile(trace).find("calling init: ") != std::string::npos; });
    return program;
  }
};

// Guards against a start that a stop or reload signal ends: 128 plus the number of the signal
// instead of a planned stop, or of an instance that serves.
TEST(Start, SignalBeforeTheFirstInitializerDoesNotEndTheProcess)
{
  WriteSettings(kSettings);
  constexpr int kStarts = 100;
  int endedBySignal = 0;
  for (int start = 0; start < kStarts; ++start) {
    const auto program = StartUpToTheFirstInitializer();
    std::this_thread::sleep_for(std::chrono::microseconds(50 * start));
    const bool reload = start % 2 == 0;
    program->Signal(reload ? SIGHUP : SIGTERM);
    if (reload) {
      std::this_thread::sleep_for(milliseconds(10));
      program->Signal(SIGTERM);
    }
    endedBySignal += program->WaitForExit() != 0 ? 1 : 0;
  }
  CHECK_EQUAL(0, endedBySignal);
}

// Guards against a SIGTERM at the start that opens the instance to callers for the drain grace
// period before it ends.
TEST(Start, StopBeforeTheAddressesAreOpenOpensNone)
{
  WriteSettings(kSettings);
  const auto program = StartUpToTheFirstInitializer();
  program->Signal(SIGTERM);
  const std::string output = program->ReadToEnd();
  CHECK_EQUAL(0, program->WaitForExit());
  CHECK(output.find("listening ") == std::string::npos);
}

// Guards against an instance that replaces another one on the same addresses and exits with 1
// because the earlier process has not ended yet.
TEST(Start, AddressThatIsStillInUseIsWaitedFor)
{
  for (const std::string key : { "peer-port", "admin-port", "caller-port" }) {
    auto holder = std::make_unique<RawListener>();
    WriteSettings(WithListenPort(key, holder->Port()));
    const auto program = StartProgram();
    std::this_thread::sleep_for(milliseconds(1000));
    holder.reset();
    const std::uint16_t callerPort = program->ReadPort("listening");
    CHECK(callerPort != 0);
    program->Signal(SIGTERM);
    const std::string output = program->ReadToEnd();
    CHECK_EQUAL(0, program->WaitForExit());
    const std::size_t event = output.find("name=start-delayed");
    CHECK(event != std::string::npos);
    CHECK(output.find("name=start-delayed", event + 1) == std::string::npos);
  }
}

// Guards against a process that waits for an address and does not stop on SIGTERM, or waits
// without end.
TEST(Start, WaitForAnAddressEndsOnStopAndAfterItsLimit)
{
  const RawListener holder;
  WriteSettings(WithListenPort("peer-port", holder.Port()));
  const auto stopped = StartProgram();
  std::this_thread::sleep_for(milliseconds(500));
  stopped->Signal(SIGHUP);
  std::this_thread::sleep_for(milliseconds(100));
  stopped->Signal(SIGTERM);
  STRCMP_CONTAINS("name=start-cancelled", stopped->ReadToEnd().c_str());
  CHECK_EQUAL(0, stopped->WaitForExit());

  const auto begin = std::chrono::steady_clock::now();
  const auto failed = StartProgram();
  STRCMP_CONTAINS("name=start-failed", failed->ReadToEnd().c_str());
  CHECK_EQUAL(1, failed->WaitForExit());
  CHECK(std::chrono::steady_clock::now() - begin >= std::chrono::seconds(5));
}

// Guards against an exit with 3 because the settings file is still being written at the start.
TEST(Start, SettingsThatAreStillBeingWrittenAreWaitedFor)
{
  const std::string cutInAKey = kSettings.substr(0, kSettings.find("port"));
  for (const auto& text :
       { std::optional<std::string>(), std::optional<std::string>(""), std::optional(cutInAKey) }) {
    fs::remove(SettingsFile());
    if (text) {
      WriteSettings(*text);
    }
    const auto program = StartProgram();
    std::this_thread::sleep_for(milliseconds(500));
    WriteSettings(kSettings);
    CHECK(program->ReadPort("listening") != 0);
    program->Signal(SIGTERM);
    CHECK_EQUAL(0, program->WaitForExit());
  }
}

// Guards against an instance that runs with the valid first half of a file that is being written.
TEST(Start, ValidPartOfTheSettingsIsNotApplied)
{
  const RawListener holder;
  WriteSettings("");
  const auto program = StartProgram();
  // Without the port, the system would choose a free one and the start would succeed.
  for (int i = 0; i < 30; ++i) {
    WriteSettings(kSettings + std::string(static_cast<std::size_t>(i), '#') + "\n");
    std::this_thread::sleep_for(milliseconds(5));
  }
  WriteSettings(WithListenPort("caller-port", holder.Port()));
  std::this_thread::sleep_for(milliseconds(300));
  program->Signal(SIGTERM);
  const std::string output = program->ReadToEnd();
  CHECK_EQUAL(0, program->WaitForExit());
  STRCMP_CONTAINS("name=start-cancelled", output.c_str());
  CHECK(output.find("listening ") == std::string::npos);
}

// Guards against a process that waits for its settings and does not stop on SIGTERM, or waits
// without end, and against a check that waits.
TEST(Start, WaitForSettingsEndsOnStopAndAfterItsLimit)
{
  const auto stopped = StartProgram();
  std::this_thread::sleep_for(milliseconds(300));
  stopped->Signal(SIGHUP);
  std::this_thread::sleep_for(milliseconds(100));
  stopped->Signal(SIGTERM);
  CHECK_EQUAL(0, stopped->WaitForExit());

  auto begin = std::chrono::steady_clock::now();
  CHECK_EQUAL(3, StartProgram()->WaitForExit());
  CHECK(std::chrono::steady_clock::now() - begin >= std::chrono::seconds(5));

  begin = std::chrono::steady_clock::now();
  ChildProcess check(BORAGEPIER_BINARY, { "--settings", SettingsFile().string(), "--check" });
  CHECK_EQUAL(3, check.WaitForExit());
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(3));
}

// Guards against a start that fails because the platform has no value for a placeholder of the
// deployed template, or renders it in another form.
TEST(Start, DeployedTemplateIsValidInEveryFormOfItsValues)
{
  const std::vector<std::string> numbers = { "6",   "",     "6.0",  "6.5",
                                             "1e3", "1E+3", "2e-1", "1000000000" };
  const std::vector<std::string> durations = { "6", "", "0.5", "2", "6.0", "6.5", "1e1", "1E+1" };
  const std::map<std::string, std::vector<std::string>> forms = {
    { "node", { "front-a-1" } },
    { "zone", { "a" } },
    { "platform.address", { "127.0.0.1:9" } },
    { "ip", { "127.0.0.1", "" } },
    { "listen.front", { "127.0.0.1:8548", "" } },
    { "listen.ready", { "127.0.0.1:8548", "" } },
    { "internal_ports.0", { "7540", "", "7540.0", "7.54e3" } },
    { "first_start", { "true", "", "false", "True", "FALSE" } },
    { "limits.cpu_share", { "0", "0.2", "1", "" } },
    { "limits.link_mbps", numbers },
    { "limits.file_descriptors", { "4100", "4100.0", "4.1e3", "" } },
    { "limits.memory_mb", { "260", "260.5", "2.6E+2", "" } },
    { "bounds.retry_budget_ratio", numbers },
    { "bounds.budget_slack", numbers },
    { "bounds.budget_window_s", { "10", "", "10.0", "0.5", "1e1" } },
    { "bounds.probes_per_s", numbers },
    { "bounds.quota_window_s", { "5", "", "5.0", "0.5", "1e1" } },
    { "bounds.quota_overage", numbers },
    { "bounds.quota_slack", numbers },
    { "bounds.cold_over", { "1.5", "", "1", "2.0", "1.5e0" } },
    { "bounds.cold_slack", numbers },
    { "bounds.grace_s", durations },
    { "heartbeat_ms", { "1500", "", "1500.0", "1500.5", "1.5e3" } },
  };
  const std::string source = ReadFile(BORAGEPIER_SOURCE_DIR "/deploy/instance.ini");
  for (const auto& [varied, values] : forms) {
    for (const std::string& value : values) {
      std::string text = source;
      for (std::size_t open = text.find("{{"); open != std::string::npos; open = text.find("{{")) {
        const std::size_t close = text.find("}}", open);
        const std::string name = text.substr(open + 2, close - open - 2);
        text.replace(open, close + 2 - open, name == varied ? value : forms.at(name).front());
      }
      fs::remove(SettingsFile());
      WriteSettings(text);
      ChildProcess check(BORAGEPIER_BINARY, { "--settings", SettingsFile().string(), "--check" });
      const int status = check.WaitForExit();
      std::string label = varied;
      label.append(" = ").append(value);
      CHECK_EQUAL_TEXT(0, status, label.c_str());
    }
  }
}

// Guards against a process that ends because the file for its log has reached a limit of size.
TEST(Start, LogFileThatCannotGrowDoesNotEndTheProcess)
{
  std::string text = kSettings;
  text.append("file = ").append((directory_ / "log").string()).append("\n");
  WriteSettings(text);
  rlimit limit{};
  getrlimit(RLIMIT_FSIZE, &limit);
  const rlimit small{ 10, limit.rlim_max };
  setrlimit(RLIMIT_FSIZE, &small);
  const auto program = StartProgram();
  setrlimit(RLIMIT_FSIZE, &limit);
  CHECK(program->ReadPort("listening") != 0);
  program->Signal(SIGTERM);
  const int status = program->WaitForExit();
  CHECK_EQUAL(0, status);
}

// Guards against sockets that get the number of a closed standard output, to which the log would
// then be written.
TEST(Start, ClosedStandardStreamsAreNotReusedForSockets)
{
  WriteSettings(kSettings);
  const pid_t child = fork();
  if (child == 0) {
    for (const int descriptor : { STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO }) {
      close(descriptor);
    }
    execl(BORAGEPIER_BINARY, BORAGEPIER_BINARY, "--settings", SettingsFile().c_str(), nullptr);
    _exit(127);
  }
  const fs::path descriptors = "/proc/" + std::to_string(child) + "/fd";
  std::error_code ignored;
  WaitUntil([&] { return fs::exists(descriptors / "12", ignored); });
  for (const char* descriptor : { "0", "1", "2" }) {
    STRCMP_EQUAL("/dev/null", fs::read_symlink(descriptors / descriptor, ignored).c_str());
  }
  kill(child, SIGTERM);
  int status = 0;
  waitpid(child, &status, 0);
  CHECK(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

} // namespace boragepier::testing
