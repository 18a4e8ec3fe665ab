#ifndef BORAGEPIER_NET_ERRORS_H
#define BORAGEPIER_NET_ERRORS_H

#include "boragepier/base/errors.h"

namespace boragepier::net {

/// Listening on an address and port failed.
class ListenError : public Error
{
public:
  using Error::Error;
};

/// Another socket uses the address and port.
class AddressInUseError : public ListenError
{
public:
  using ListenError::ListenError;
};

} // namespace boragepier::net

#endif
