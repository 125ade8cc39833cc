/// \file
/// \brief The daemons' settings as their command lines know them.

#include "yuccamoor/transport/observability/daemon_setting_infos.h"

namespace yuccamoor {
namespace {

std::vector<SettingInfo> DaemonSettingInfos() {
  using enum SettingForm;
  return {
      {"node", kString, "This process's name, stable over restarts"},
      {"vm", kString, "The VM that it runs on"},
      {"failure_domain", kString, "The VM's failure domain"},
      {"region", kString, "The VM's region"},
      {"peer_listen", kString, "Where peers call, ip:port"},
      {"operator_listen", kString, "Where operators read, ip:port"},
      {"key_value_service", kString, "The key-value service, ip:port"},
      {"vm_list", kString, "The list of VMs, ip:port"},
      {"peers", kList, "Peers to ask for the configuration, ip:port,..."},
      {"threads", kScalar, "Threads that carry I/O, 1 to 256"},
      {"unready_time_ms", kScalar,
       "How long it serves on after it says that it is not ready, in ms"},
      {"shutdown_grace_ms", kScalar, "How long a shutdown may take, in ms"},
      {"trace_file", kString, "File for spans; empty: none"},
      {"trace_collector", kString,
       "Collector that spans are posted to, ip:port; empty: none"},
  };
}

}  // namespace

std::vector<SettingInfo> GatewaySettingInfos() {
  using enum SettingForm;
  std::vector<SettingInfo> infos = DaemonSettingInfos();
  infos.push_back({"listen", kString, "Where callers connect, ip:port"});
  infos.push_back({"max_body_bytes", kScalar, "Longest body of a request"});
  infos.push_back({"max_requests", kScalar, "Chats that run at once"});
  infos.push_back(
      {"default_deadline_ms", kScalar, "Deadline of a request without one"});
  return infos;
}

std::vector<SettingInfo> SchedulerSettingInfos() {
  using enum SettingForm;
  std::vector<SettingInfo> infos = DaemonSettingInfos();
  infos.push_back({"cells", kList, "Cells that may be led; empty: all"});
  infos.push_back({"policy", kString, "weighted or naive"});
  return infos;
}

}  // namespace yuccamoor
