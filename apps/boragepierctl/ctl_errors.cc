#include "apps/boragepierctl/ctl_errors.h"

#include <array>

namespace boragepier::ctl {

namespace {

// Indexed by the number of the ExitCode.
constexpr std::array kExitCodes = {
  ExitCodeInfo{ ExitCode::Ok, "ok", "success" },
  ExitCodeInfo{ ExitCode::Failed, "failed", "unexpected failure" },
  ExitCodeInfo{ ExitCode::Usage, "usage", "wrong arguments" },
  ExitCodeInfo{ ExitCode::FilesInvalid,
                "files-invalid",
                "a service file cannot be read or is not accepted; nothing was published" },
  ExitCodeInfo{ ExitCode::PublishConflict,
                "publish-conflict",
                "another publish changed a service first; nothing of this one is in effect" },
  ExitCodeInfo{ ExitCode::PlatformUnavailable,
                "platform-unavailable",
                "the platform did not answer; nothing was published" },
  ExitCodeInfo{ ExitCode::PublishUnknown,
                "publish-unknown",
                "the answer to the publish was lost; it may be in effect" },
  ExitCodeInfo{ ExitCode::RequestUnknown,
                "request-unknown",
                "no instance keeps a record of the request" },
  ExitCodeInfo{ ExitCode::InstanceProblem,
                "instance-problem",
                "an instance did not answer or is not ready" },
};

} // namespace

std::span<const ExitCodeInfo>
ExitCodes()
{
  return kExitCodes;
}

const ExitCodeInfo&
InfoOf(ExitCode aCode)
{
  return kExitCodes.at(static_cast<std::size_t>(aCode));
}

} // namespace boragepier::ctl
