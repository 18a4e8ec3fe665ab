#ifndef BORAGEPIER_PLATFORM_TABLE_CODEC_H
#define BORAGEPIER_PLATFORM_TABLE_CODEC_H

#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/errors.h"
#include "boragepier/ports/table_store.h"

namespace boragepier::platform {

/// Thrown for a message from or to the platform that violates its protocol (docs/platform.md).
class ProtocolError : public Error
{
public:
  using Error::Error;
};

/// @return the body of a table request as JSON, with values in base64
/// @throws ProtocolError if a key is not UTF-8
std::string
EncodeTableRequest(const TableRequest& aRequest);
/// @throws ProtocolError if aText is not a table request
TableRequest
DecodeTableRequest(std::string_view aText);

/// @return the body of a response to a table request as JSON, with values in base64
std::string
EncodeTableResults(const std::vector<TableOperationResult>& aResults);
/// Decodes the results of aRequest.
/// @throws ProtocolError if aText is not a valid response or contradicts aRequest, for example by
///   the row of another key
std::vector<TableOperationResult>
DecodeTableResults(std::string_view aText, const TableRequest& aRequest);

/// @return the body of a response in which the platform states that it did not apply the request
///   for aReason, a text for people
std::string
EncodeNotApplied(std::string_view aReason);
/// @return whether aText is a body as EncodeNotApplied() makes it
bool
IsNotApplied(std::string_view aText);

} // namespace boragepier::platform

#endif
