#ifndef BORAGEPIER_BASE_ERRORS_H
#define BORAGEPIER_BASE_ERRORS_H

#include <stdexcept>
#include <string>

namespace boragepier {

/// Base class of all exceptions that boragepier throws. Each library derives its own types; code
/// that catches one names the type that it can handle.
class Error : public std::runtime_error
{
public:
  /// @param aMessage reason, as shown in logs and on the command line
  explicit Error(const std::string& aMessage)
    : std::runtime_error(aMessage)
  {
  }
};

} // namespace boragepier

#endif
