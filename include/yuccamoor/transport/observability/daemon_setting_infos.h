/// \file
/// \brief The daemons' settings as their command lines know them.

#ifndef YUCCAMOOR_TRANSPORT_OBSERVABILITY_DAEMON_SETTING_INFOS_H_
#define YUCCAMOOR_TRANSPORT_OBSERVABILITY_DAEMON_SETTING_INFOS_H_

#include <vector>

#include "yuccamoor/transport/observability/settings_overlay.h"

namespace yuccamoor {

/// The names and help of the settings that ParseGatewaySettings takes.
std::vector<SettingInfo> GatewaySettingInfos();
/// The names and help of the settings that ParseSchedulerSettings takes.
std::vector<SettingInfo> SchedulerSettingInfos();

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_OBSERVABILITY_DAEMON_SETTING_INFOS_H_
