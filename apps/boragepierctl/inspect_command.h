#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_INSPECT_COMMAND_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_INSPECT_COMMAND_H

#include <iosfwd>

#include "apps/boragepierctl/ctl_options.h"

namespace boragepier::ctl {

/// Runs `status`: writes readiness, peers and configuration versions of all instances.
/// @throws UsageError, PlatformUnavailableError
/// @throws InstanceProblemError after all instances were written, if one does not respond or is not
/// ready, or if none is known
void
RunStatus(const CtlOptions& aOptions, std::ostream& aOutput);

/// Runs `explain` without --log: asks the instances for their explain records and writes how one
/// request was served, or the most recent requests of each instance.
/// @throws UsageError, PlatformUnavailableError
/// @throws RequestUnknownError if all instances respond and none has a record of the request
/// @throws InstanceProblemError if an instance fails and the result may therefore be incomplete
void
RunExplain(const CtlOptions& aOptions, std::ostream& aOutput);

} // namespace boragepier::ctl

#endif
