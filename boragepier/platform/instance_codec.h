#ifndef BORAGEPIER_PLATFORM_INSTANCE_CODEC_H
#define BORAGEPIER_PLATFORM_INSTANCE_CODEC_H

#include <string>
#include <string_view>
#include <vector>

#include "boragepier/platform/table_codec.h"
#include "boragepier/ports/instance_list.h"

namespace boragepier::platform {

/// @return aProcess as a JSON object, the body of a registration
std::string
EncodeProcess(const ListedProcess& aProcess);
/// @throws ProtocolError if aText is not JSON, or if a member is missing or invalid
ListedProcess
DecodeProcess(std::string_view aText);

/// @return aProcesses as a JSON array, the body of the list
std::string
EncodeProcessList(const std::vector<ListedProcess>& aProcesses);
/// @throws ProtocolError if aText is not a JSON array or one of its processes is invalid
std::vector<ListedProcess>
DecodeProcessList(std::string_view aText);

} // namespace boragepier::platform

#endif
