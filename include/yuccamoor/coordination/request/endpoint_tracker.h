/// \file
/// \brief Which endpoints may receive new work. Word that one is leaving comes
/// from the VM list, from the endpoint's own answers or from peers, and stands
/// against a list that lags.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_ENDPOINT_TRACKER_H_
#define YUCCAMOOR_COORDINATION_REQUEST_ENDPOINT_TRACKER_H_

#include <cstddef>
#include <map>
#include <vector>

#include "yuccamoor/coordination/vm_list.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// One VM that is leaving, and how long ago the first word of it came.
struct LeavingVm {
  VmId vm;
  DurationMs age;
};

/// Gateway to gateway: every VM that the sender knows to be leaving.
struct LeavingGossip {
  NodeId from;
  std::vector<LeavingVm> leaving;
};

/// The limits of the tracker.
struct EndpointTrackerOptions {
  /// How long word of leaving stands once the list has ceased to confirm it: a
  /// VM that did not go may be used again after this.
  DurationMs forget_after{120'000};
  /// The most VMs that are remembered as leaving.
  std::size_t max_leaving = 4'096;
};

/// Knows which VMs are leaving. A VM is never taken back by a list that merely
/// does not say so yet.
class EndpointTracker {
 public:
  explicit EndpointTracker(const EndpointTrackerOptions& options = {});

  /// Takes the VM list. A VM that was listed before and is gone counts as
  /// leaving, an unlisted one as usable: it may be newer than the list.
  void OnVmList(const std::vector<VmEntry>& list, TimeMs now);
  /// Notes that the VM's endpoint said that it is leaving.
  void OnLeavingAnswer(const VmId& vm, TimeMs now);
  /// Takes a peer's word.
  void OnGossip(const LeavingGossip& gossip, TimeMs now);
  /// Forgets what is older than the options allow.
  void Tick(TimeMs now);

  /// Whether new work may go to endpoints on this VM.
  bool Usable(const VmId& vm) const { return !m_leaving.contains(vm); }
  /// Whether this process learned of a leaving VM since the last call: then the
  /// gossip is sent at once.
  bool TakeChanged();
  /// What to tell peers.
  LeavingGossip Gossip(const NodeId& self, TimeMs now) const;

 private:
  struct Leaving {
    TimeMs first;
    /// The last time that a list or the endpoint itself confirmed it.
    TimeMs confirmed;
  };

  void Note(const VmId& vm, TimeMs first, TimeMs confirmed);

  EndpointTrackerOptions m_options;
  std::map<VmId, Leaving> m_leaving;
  std::map<VmId, bool> m_listed;
  bool m_changed = false;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_ENDPOINT_TRACKER_H_
