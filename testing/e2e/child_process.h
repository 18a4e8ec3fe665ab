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

/// A program under test that did not start, did not print what it should, or did not exit in time.
class ChildProcessError : public Error
{
public:
  using Error::Error;
};

/// A program started by a test. Killed when the object is destroyed.
class ChildProcess
{
public:
  /// Time after which a program that makes no progress fails the test.
  static constexpr std::chrono::seconds kPatience{ 30 };

  /// @param aProgram path of the program
  /// @param aArguments its arguments
  ChildProcess(const std::string& aProgram, const std::vector<std::string>& aArguments);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Reads the standard output until a line "aName PORT".
  /// @return the port
  /// @throws ChildProcessError if the line does not come
  std::uint16_t ReadPort(std::string_view aName);

  void Signal(int aSignal) const;
  /// Stops the program and waits until all its threads have stopped.
  void Pause() const;
  pid_t Pid() const { return pid_; }

  /// Waits for the end of the program.
  /// @return the exit status, or 128 plus the number of the signal that ended it
  /// @throws ChildProcessError if it does not end
  int WaitForExit();

  /// Waits for the end of the program and returns everything that it wrote to its standard output.
  std::string ReadToEnd();

private:
  bool ReadMore();

  pid_t pid_ = -1;
  int output_ = -1;
  std::string text_;       ///< everything read so far
  std::size_t parsed_ = 0; ///< bytes of text_ whose lines are in ports_
  std::map<std::string, std::uint16_t, std::less<>> ports_;
};

} // namespace boragepier::testing

#endif
