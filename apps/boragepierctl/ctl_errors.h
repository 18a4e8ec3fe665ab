#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_CTL_ERRORS_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_CTL_ERRORS_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "boragepier/base/errors.h"

namespace boragepier::ctl {

/// Exit status of boragepierctl. Numbers keep their meaning in later releases.
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

/// Entry of the table of exit codes.
struct ExitCodeInfo
{
  ExitCode code_;
  std::string_view name_; ///< used in JSON output
  std::string_view meaning_;
};

/// @return all exit codes, ordered by number
std::span<const ExitCodeInfo>
ExitCodes();
/// @return the entry of a code
const ExitCodeInfo&
InfoOf(ExitCode aCode);

/// A failure of a command. The message says what is wrong and what to do next.
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

/// Failure with a fixed exit code.
template<ExitCode kCode>
class CtlFailure : public CtlError
{
public:
  explicit CtlFailure(const std::string& aMessage)
    : CtlError(kCode, aMessage)
  {
  }
};

using UsageError = CtlFailure<ExitCode::Usage>;
using FilesInvalidError = CtlFailure<ExitCode::FilesInvalid>;
using PublishLostError = CtlFailure<ExitCode::PublishConflict>;
using PlatformUnavailableError = CtlFailure<ExitCode::PlatformUnavailable>;
using PublishUnknownError = CtlFailure<ExitCode::PublishUnknown>;
using RequestUnknownError = CtlFailure<ExitCode::RequestUnknown>;
using InstanceProblemError = CtlFailure<ExitCode::InstanceProblem>;

} // namespace boragepier::ctl

#endif
