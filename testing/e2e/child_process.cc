#include "testing/e2e/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <sstream>
#include <thread>

extern char** environ;

namespace boragepier::testing {

namespace {

constexpr const char* kShell = "/bin/sh";

// Returns the command line that starts a program with the limits. The limits of this process are
// not changed, because its other threads use them too.
std::vector<std::string>
MakeCommandLine(const std::string& aProgram,
                const std::vector<std::string>& aArguments,
                std::optional<DescriptorLimit> aLimit)
{
  std::vector<std::string> commandLine;
  if (aLimit) {
    commandLine = { kShell,
                    "-c",
                    "ulimit -S -n " + std::to_string(aLimit->soft_) + " && ulimit -H -n " +
                      std::to_string(aLimit->hard_) + " && exec \"$0\" \"$@\"" };
  }
  commandLine.push_back(aProgram);
  commandLine.insert(commandLine.end(), aArguments.begin(), aArguments.end());
  return commandLine;
}

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           std::optional<DescriptorLimit> aLimit)
{
  std::vector<std::string> commandLine = MakeCommandLine(aProgram, aArguments, aLimit);
  std::array<int, 2> pipe{};
  if (pipe2(pipe.data(), O_CLOEXEC) != 0) {
    throw ChildProcessError("cannot create a pipe for the output of a child process");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(commandLine.size() + 1);
  for (std::string& argument : commandLine) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const int error = posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe[1]);
  outputFd_ = pipe[0];
  if (error != 0) {
    close(outputFd_);
    throw ChildProcessError("cannot start " + aProgram);
  }
}

ChildProcess::~ChildProcess()
{
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  close(outputFd_);
}

bool
ChildProcess::ReadOutput()
{
  pollfd pollEntry{ outputFd_, POLLIN, 0 };
  const auto timeoutMs = std::chrono::milliseconds(kTimeout).count();
  if (poll(&pollEntry, 1, static_cast<int>(timeoutMs)) <= 0) {
    throw ChildProcessError("timed out waiting for output of a child process; output so far: " +
                            outputText_);
  }
  std::array<char, 4096> buffer{};
  const ssize_t count = read(outputFd_, buffer.data(), buffer.size());
  if (count <= 0) {
    return false;
  }
  outputText_.append(buffer.data(), static_cast<std::size_t>(count));
  return true;
}

std::uint16_t
ChildProcess::ReadPort(std::string_view aName)
{
  while (true) {
    for (std::size_t end = outputText_.find('\n', parsedBytes_); end != std::string::npos;
         end = outputText_.find('\n', parsedBytes_)) {
      std::istringstream line(outputText_.substr(parsedBytes_, end - parsedBytes_));
      parsedBytes_ = end + 1;
      std::string name;
      std::uint16_t port = 0;
      if (line >> name >> port) {
        ports_.emplace(name, port);
      }
    }
    if (const auto found = ports_.find(aName); found != ports_.end()) {
      return found->second;
    }
    if (!ReadOutput()) {
      throw ChildProcessError("a child process exited before it printed its port; output: " +
                              outputText_);
    }
  }
}

void
ChildProcess::Signal(int aSignal) const
{
  kill(pid_, aSignal);
}

void
ChildProcess::Pause() const
{
  kill(pid_, SIGSTOP);
  int status = 0;
  if (waitpid(pid_, &status, WUNTRACED) != pid_ || !WIFSTOPPED(status)) {
    throw ChildProcessError("a child process did not stop after SIGSTOP");
  }
}

int
ChildProcess::WaitForExit()
{
  const auto deadline = std::chrono::steady_clock::now() + 2 * kTimeout;
  int status = 0;
  while (waitpid(pid_, &status, WNOHANG) == 0) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw ChildProcessError("timed out waiting for a child process to exit; output: " +
                              outputText_);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

std::string
ChildProcess::ReadToEnd()
{
  while (ReadOutput()) {
  }
  return outputText_;
}

} // namespace boragepier::testing
