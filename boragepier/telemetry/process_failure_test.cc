#include "boragepier/telemetry/process_failure.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

struct ChildEnd
{
  std::string output_;
  int signal_ = 0; ///< that ended the process; 0 if none did
};

// Runs a function in a child process that reports its failure to a pipe.
template<typename Function>
ChildEnd
RunInChild(Function aFunction)
{
  std::array<int, 2> pipe{};
  CHECK_EQUAL(0, ::pipe2(pipe.data(), O_CLOEXEC));
  const pid_t child = ::fork();
  if (child == 0) {
    ReportProcessFailureTo(pipe[1]);
    aFunction();
    ::_exit(0);
  }
  ::close(pipe[1]);
  ChildEnd end;
  std::array<char, 4096> buffer{};
  for (ssize_t count = 0; (count = ::read(pipe[0], buffer.data(), buffer.size())) > 0;) {
    end.output_.append(buffer.data(), static_cast<std::size_t>(count));
  }
  ::close(pipe[0]);
  int status = 0;
  CHECK_EQUAL(child, ::waitpid(child, &status, 0));
  end.signal_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  return end;
}

} // namespace

TEST_GROUP(ProcessFailure){};

// Guards against a process that ends by an exception in one of its threads and leaves no line in
// its log.
TEST(ProcessFailure, ExceptionThatNothingCatchesIsWrittenBeforeTheEnd)
{
  const ChildEnd end =
    RunInChild([] { std::thread([] { throw std::runtime_error("in a thread"); }).join(); });
  STRCMP_CONTAINS("ERROR event=1012 name=process-failed error=\"in a thread\"\n",
                  end.output_.c_str());
  CHECK_EQUAL(SIGABRT, end.signal_);
}

// Guards against a handler that hides the signal from whoever restarts the process.
TEST(ProcessFailure, FatalSignalIsWrittenAndStillEndsTheProcess)
{
  const ChildEnd end = RunInChild([] { ::raise(SIGSEGV); });
  STRCMP_CONTAINS("event=1012 name=process-failed signal=11\n", end.output_.c_str());
  CHECK_EQUAL(SIGSEGV, end.signal_);
}

} // namespace boragepier
