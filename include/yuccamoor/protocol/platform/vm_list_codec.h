/// \file
/// \brief JSON form of the platform's list of VMs.

#ifndef YUCCAMOOR_PROTOCOL_PLATFORM_VM_LIST_CODEC_H_
#define YUCCAMOOR_PROTOCOL_PLATFORM_VM_LIST_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamoor/coordination/vm_list.h"

namespace yuccamoor {

/// Returns the list's JSON text: {"vms":[{"id","failure_domain","leaving"}]}.
std::string EncodeVmList(const std::vector<VmEntry>& vms);
/// Returns the list, or nothing if the text is not one.
std::optional<std::vector<VmEntry>> DecodeVmList(std::string_view text);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_PLATFORM_VM_LIST_CODEC_H_
