/// \file
/// \brief JSON form of the platform's list of VMs.

#include "yuccamoor/protocol/platform/vm_list_codec.h"

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

std::string EncodeVmList(const std::vector<VmEntry>& vms) {
  Json list = Json::array();
  for (const VmEntry& vm : vms) {
    list.push_back({{"id", vm.id},
                    {"failure_domain", vm.failure_domain},
                    {"leaving", vm.leaving}});
  }
  return Json{{"vms", std::move(list)}}.dump();
}

std::optional<std::vector<VmEntry>> DecodeVmList(std::string_view text) {
  try {
    std::vector<VmEntry> vms;
    const Json json = Json::parse(text);
    for (const Json& vm : json.at("vms")) {
      vms.push_back(VmEntry{vm.at("id").get<VmId>(),
                            vm.at("failure_domain").get<FailureDomainId>(),
                            vm.value("leaving", false)});
    }
    return vms;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace yuccamoor
