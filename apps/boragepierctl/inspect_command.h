#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_INSPECT_COMMAND_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_INSPECT_COMMAND_H

#include <iosfwd>

#include "apps/boragepierctl/ctl_options.h"

namespace boragepier::ctl {

/// Shows the versions and the readiness of all instances.
/// @throws UsageError, PlatformUnavailableError, InstanceProblemError if an instance does not
/// answer or is not ready (after all were shown)
void
RunStatus(const CtlOptions& aOptions, std::ostream& aOutput);

/// Shows how a request was served, or the last requests of each instance.
/// @throws UsageError, PlatformUnavailableError, RequestUnknownError, InstanceProblemError
void
RunExplain(const CtlOptions& aOptions, std::ostream& aOutput);

} // namespace boragepier::ctl

#endif
