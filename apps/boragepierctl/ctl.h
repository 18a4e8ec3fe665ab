#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_CTL_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_CTL_H

#include <iosfwd>
#include <span>
#include <string>

#include "apps/boragepierctl/ctl_errors.h"

namespace boragepier::ctl {

/// Parses the arguments and runs the command that they name. Failures are written to the streams
/// and returned as the exit status, not thrown.
/// @param aArguments command line without the program name
/// @param aOutput receives results; with --json also errors, as `{"error": name, "detail": text}`
/// @param aErrors receives errors and warnings as text
/// @return the exit status for the process
ExitCode
RunCtl(std::span<const std::string> aArguments, std::ostream& aOutput, std::ostream& aErrors);

} // namespace boragepier::ctl

#endif
