#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_CTL_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_CTL_H

#include <iosfwd>
#include <span>
#include <string>

#include "apps/boragepierctl/ctl_errors.h"

namespace boragepier::ctl {

/// Runs boragepierctl.
/// @param aArguments without the name of the program
/// @param aOutput results; with --json also errors, as `{"error": name, "detail": text}`
/// @param aErrors errors and warnings
/// @return exit status of the process
ExitCode
RunCtl(std::span<const std::string> aArguments, std::ostream& aOutput, std::ostream& aErrors);

} // namespace boragepier::ctl

#endif
