/// \file
/// \brief Stand-in for the platform's lagging list of VMs.

#ifndef YUCCAMOOR_STANDINS_VM_LIST_STAND_IN_H_
#define YUCCAMOOR_STANDINS_VM_LIST_STAND_IN_H_

#include <deque>
#include <mutex>
#include <string>

#include "yuccamoor/standins/stand_in.h"

namespace yuccamoor {

/// GET /vms gives the list as it was the lag ago; POST /vms replaces it. POST
/// /faults as FaultSwitches.
class VmListStandIn final : public StandIn {
 public:
  explicit VmListStandIn(DurationMs lag);

  Awaitable<void> Handle(HttpExchange& exchange) override;

 private:
  struct Version {
    TimeMs since;
    std::string json;
  };

  /// Returns whether the text was a list.
  bool Replace(const std::string& text);
  std::string Lagged();

  DurationMs m_lag;
  FaultSwitches m_faults;
  SteadyClock m_clock;
  // Guards the versions, of which the first is the one in force.
  std::mutex m_mutex;
  std::deque<Version> m_versions;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_VM_LIST_STAND_IN_H_
