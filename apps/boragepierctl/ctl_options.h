#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_CTL_OPTIONS_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_CTL_OPTIONS_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/config/endpoint.h"

namespace boragepier::ctl {

/// Arguments of boragepierctl.
struct CtlOptions
{
  std::string command_;               ///< empty if only help or the version is wanted
  std::vector<std::string> operands_; ///< arguments of the command that are no options
  bool help_ = false;
  bool version_ = false;
  bool json_ = false;
  std::optional<Endpoint> platform_;
  std::vector<Endpoint> instances_; ///< admin addresses
  std::uint16_t adminPort_ = 0;     ///< of listed instances without one; 0 if not given
  Duration timeout_ = std::chrono::seconds(10);
  std::string operator_;                       ///< who publishes
  std::map<std::string, std::uint64_t> bases_; ///< --base SERVICE=VERSION
  std::optional<std::uint64_t> base_;          ///< --base VERSION
  std::vector<std::string> logs_;              ///< --log FILE; "-" is the standard input
  std::uint64_t last_ = 0;                     ///< --last N; 0 if not given
};

/// @param aArguments without the name of the program
/// @throws UsageError
CtlOptions
ParseOptions(std::span<const std::string> aArguments);

/// @return the help text with examples and exit codes
std::string
HelpText();

} // namespace boragepier::ctl

#endif
