#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_CTL_ERRORS_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_CTL_ERRORS_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "boragepier/base/errors.h"

namespace boragepier::ctl {

/// Exit status of boragepierctl. Scripts depend on the numbers, so they keep their meaning in later
/// releases.
enum class ExitCode : std::uint8_t
{
  Ok = 0,
  Failed = 1,
  Usage = 2,
  FilesInvalid = 3,
  PublishConflict = 4,
  PlatformUnavailable = 5,
  PublishUnknown = 6,
  RequestUnknown = 7,
  InstanceProblem = 8,
};

/// Name and description of an exit code.
struct ExitCodeInfo
{
  ExitCode code_;
  std::string_view name_;    ///< value of "error" in JSON output
  std::string_view meaning_; ///< for the help text and docs/OPERATIONS.md
};

/// @return all exit codes in ascending order
std::span<const ExitCodeInfo>
ExitCodes();
/// @return name and description of an exit code
const ExitCodeInfo&
InfoOf(ExitCode aCode);

/// Failure of a command, with the exit status to return. The message names the object concerned and
/// what the operator can do next.
class CtlError : public Error
{
public:
  CtlError(ExitCode aCode, const std::string& aMessage)
    : Error(aMessage)
    , code_(aCode)
  {
  }

  ExitCode Code() const { return code_; }

private:
  ExitCode code_;
};

/// CtlError whose exit code is part of the type.
template<ExitCode kCode>
class CtlErrorWithCode : public CtlError
{
public:
  explicit CtlErrorWithCode(const std::string& aMessage)
    : CtlError(kCode, aMessage)
  {
  }
};

using UsageError = CtlErrorWithCode<ExitCode::Usage>;
using FilesInvalidError = CtlErrorWithCode<ExitCode::FilesInvalid>;
using PublishConflictError = CtlErrorWithCode<ExitCode::PublishConflict>;
using PlatformUnavailableError = CtlErrorWithCode<ExitCode::PlatformUnavailable>;
using PublishUnknownError = CtlErrorWithCode<ExitCode::PublishUnknown>;
using RequestUnknownError = CtlErrorWithCode<ExitCode::RequestUnknown>;
using InstanceProblemError = CtlErrorWithCode<ExitCode::InstanceProblem>;

} // namespace boragepier::ctl

#endif
