#ifndef BORAGEPIER_TESTING_E2E_CHILD_PROCESS_H
#define BORAGEPIER_TESTING_E2E_CHILD_PROCESS_H

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/errors.h"

namespace boragepier::testing {

/// A child process did not start, print the expected output, or exit in time.
class ChildProcessError : public Error
{
public:
  using Error::Error;
};

/// Limits of a child process on open descriptors (RLIMIT_NOFILE).
struct DescriptorLimit
{
  unsigned soft_ = 0;
  unsigned hard_ = 0;
};

/// A program run as a child process. The destructor kills it.
class ChildProcess
{
public:
  /// Time without progress after which a wait fails.
  static constexpr std::chrono::seconds kTimeout{ 30 };

  /// @param aProgram path of the program
  /// @param aArguments its arguments, without the program name
  /// @param aLimit limits with which the program starts; without them it inherits those of the test
  /// @throws ChildProcessError if the program cannot be started
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               std::optional<DescriptorLimit> aLimit = std::nullopt);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Reads the standard output up to a line "aName PORT".
  /// @return the port
  /// @throws ChildProcessError if the program exits or prints nothing for kTimeout before that line
  std::uint16_t ReadPort(std::string_view aName);

  void Signal(int aSignal) const;
  /// Sends SIGSTOP and waits until all threads of the program have stopped.
  void Pause() const;
  pid_t Pid() const { return pid_; }

  /// Waits until the program exits.
  /// @return the exit status, or 128 plus the number of the signal that ended it
  /// @throws ChildProcessError if it does not exit within twice kTimeout
  int WaitForExit();

  /// Reads the standard output until the program closes it.
  /// @return everything that the program wrote, including what was read before
  std::string ReadToEnd();

private:
  /// Appends the next output to outputText_.
  /// @return false at the end of the output
  bool ReadOutput();

  pid_t pid_ = -1;
  int outputFd_ = -1;
  std::string outputText_;      ///< everything read so far
  std::size_t parsedBytes_ = 0; ///< length of the prefix of outputText_ that was searched for ports
  std::map<std::string, std::uint16_t, std::less<>> ports_;
};

} // namespace boragepier::testing

#endif
