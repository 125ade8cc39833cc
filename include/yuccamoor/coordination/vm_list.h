/// \file
/// \brief Interface to the platform's lagging list of live and leaving VMs.

#ifndef YUCCAMOOR_COORDINATION_VM_LIST_H_
#define YUCCAMOOR_COORDINATION_VM_LIST_H_

#include <functional>
#include <optional>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// One VM as the platform lists it.
struct VmEntry {
  VmId id;
  FailureDomainId failure_domain;
  bool leaving = false;
};

/// Reads the list of VMs. Safe to use from several threads.
class VmList {
 public:
  using Callback = std::function<void(std::optional<std::vector<VmEntry>>)>;

  virtual ~VmList() = default;

  /// Reads the list; nothing if it does not come within \p timeout.
  virtual void Read(DurationMs timeout, Callback done) = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_VM_LIST_H_
