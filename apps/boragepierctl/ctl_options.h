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

/// Parsed command line of boragepierctl.
struct CtlOptions
{
  std::string command_;               ///< empty if none is given
  std::vector<std::string> operands_; ///< positional arguments after the command
  bool help_ = false;
  bool version_ = false;
  bool json_ = false;
  std::optional<Endpoint> platformEndpoint_; ///< --platform
  std::vector<Endpoint> adminEndpoints_;     ///< --instance; admin addresses
  std::uint16_t adminPort_ = 0; ///< --admin-port; of instances listed without one, 0 if not given
  Duration timeout_ = std::chrono::seconds(10); ///< for all responses of a command
  std::string operatorName_;                    ///< --operator; prefix of the publish id
  std::map<std::string, std::uint64_t>
    baseVersionsByService_;                  ///< --base SERVICE=VERSION, by service name
  std::optional<std::uint64_t> baseVersion_; ///< --base VERSION
  std::vector<std::string> logFiles_;        ///< --log FILE; "-" stands for the standard input
  std::uint64_t lastCount_ = 0;              ///< --last N; 0 if not given
};

/// Parses the options. Whether operands fit the command is checked by the command.
/// @param aArguments command line without the program name
/// @throws UsageError if an option is unknown or its value is invalid
CtlOptions
ParseOptions(std::span<const std::string> aArguments);

/// @return the help text: options, commands, examples and exit codes
std::string
HelpText();

} // namespace boragepier::ctl

#endif
