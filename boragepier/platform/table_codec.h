#ifndef BORAGEPIER_PLATFORM_TABLE_CODEC_H
#define BORAGEPIER_PLATFORM_TABLE_CODEC_H

#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/errors.h"
#include "boragepier/ports/table_store.h"

namespace boragepier::platform {

/// Text from or for the platform that violates its protocol (docs/platform.md).
class ProtocolError : public Error
{
public:
  using Error::Error;
};

/// @throws ProtocolError if a key is not UTF-8
std::string
EncodeTableRequest(const TableRequest& aRequest);
/// @throws ProtocolError
TableRequest
DecodeTableRequest(std::string_view aText);

std::string
EncodeTableResults(const std::vector<TableOperationResult>& aResults);
/// Decodes results and checks that they can be the results of this request.
/// @throws ProtocolError
std::vector<TableOperationResult>
DecodeTableResults(std::string_view aText, const TableRequest& aRequest);

/// @return the body of an answer by which the platform certifies that it did not apply a request
std::string
EncodeNotApplied(std::string_view aReason);
/// @return whether aText is such a body
bool
IsNotApplied(std::string_view aText);

} // namespace boragepier::platform

#endif
