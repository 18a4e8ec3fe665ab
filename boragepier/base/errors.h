#ifndef BORAGEPIER_BASE_ERRORS_H
#define BORAGEPIER_BASE_ERRORS_H

#include <stdexcept>
#include <string>

namespace boragepier {

/// Base of every exception that boragepier throws. Packages derive their own types; callers catch
/// the type that they can handle.
class Error : public std::runtime_error
{
public:
  explicit Error(const std::string& aMessage)
    : std::runtime_error(aMessage)
  {
  }
};

} // namespace boragepier

#endif
