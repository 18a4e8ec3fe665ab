#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_PUBLISH_COMMAND_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_PUBLISH_COMMAND_H

#include <iosfwd>

#include "apps/boragepierctl/ctl_options.h"

namespace boragepier::ctl {

/// Checks service files.
/// @throws UsageError, FilesInvalidError
void
RunCheck(const CtlOptions& aOptions, std::ostream& aOutput);

/// Checks all service files below directories, puts the changed ones into force together and
/// announces them to instances. Instances that cannot be told are named on aErrors; they read the
/// store.
/// @throws UsageError, FilesInvalidError, PublishLostError, PlatformUnavailableError,
/// PublishUnknownError
void
RunPublish(const CtlOptions& aOptions, std::ostream& aOutput, std::ostream& aErrors);

} // namespace boragepier::ctl

#endif
