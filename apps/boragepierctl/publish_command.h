#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_PUBLISH_COMMAND_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_PUBLISH_COMMAND_H

#include <iosfwd>

#include "apps/boragepierctl/ctl_options.h"

namespace boragepier::ctl {

/// Runs `check`: validates service files without contacting the platform.
/// @throws UsageError if no file is given
/// @throws FilesInvalidError if a file is invalid or two files conflict
void
RunCheck(const CtlOptions& aOptions, std::ostream& aOutput);

/// Runs `publish`: validates all service files below the given directories, publishes the changed
/// ones in one transaction and announces them to instances. A failed announcement is a warning on
/// aErrors only, because instances also poll the store.
/// @throws UsageError, FilesInvalidError, PublishConflictError, PlatformUnavailableError
/// @throws PublishUnknownError if the response to the write was lost
void
RunPublish(const CtlOptions& aOptions, std::ostream& aOutput, std::ostream& aErrors);

} // namespace boragepier::ctl

#endif
