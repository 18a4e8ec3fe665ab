#ifndef BORAGEPIER_PLATFORM_INSTANCE_CODEC_H
#define BORAGEPIER_PLATFORM_INSTANCE_CODEC_H

#include <string>
#include <string_view>
#include <vector>

#include "boragepier/platform/table_codec.h"
#include "boragepier/ports/instance_list.h"

namespace boragepier::platform {

std::string
EncodeProcess(const ListedProcess& aProcess);
/// @throws ProtocolError
ListedProcess
DecodeProcess(std::string_view aText);

std::string
EncodeProcesses(const std::vector<ListedProcess>& aProcesses);
/// @throws ProtocolError
std::vector<ListedProcess>
DecodeProcesses(std::string_view aText);

} // namespace boragepier::platform

#endif
