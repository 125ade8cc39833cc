/// \file
/// \brief A store with leases, outages and restores, on a test's clock.

#ifndef YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_SIMULATED_FLEET_STORE_H_
#define YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_SIMULATED_FLEET_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/coordination/fleet/fleet_store.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// The store's content and its history. Calls take effect when they are made.
class SimulatedFleetStore {
 public:
  explicit SimulatedFleetStore(const Clock& clock) : m_clock(clock) {}

  /// Ends leases that have run out, and keeps a copy of the content now and
  /// then.
  void OnTick();
  /// The store answers nobody until then; leases pause or run out.
  void BeAway(TimeMs until, bool leases_pause);
  /// The store refuses all calls of the node until then.
  void TurnAway(const NodeId& node, TimeMs until);
  /// Ends the node's leases at once.
  void RevokeLeases(const NodeId& node);
  /// Comes back from the newest copy that is at least so old.
  void Restore(DurationMs age);
  bool Serves(const NodeId& node) const;

  /// Lists an engine, or removes it from the list.
  void Put(const EndpointEntry& entry);
  void Remove(const EndpointId& engine);

  StoreLease Grant(const NodeId& node, DurationMs ttl);
  bool Renew(StoreLease lease);
  /// Writes a record under a lease. Fails if the record exists and may not.
  WriteReply Write(const std::string& key, const std::string& value,
                   StoreLease lease, bool may_exist);

  StoreEra era() const { return m_era; }
  Revision revision() const { return Revision(m_content.revision); }
  /// What a full read brings.
  std::vector<StoreChange> All() const;
  /// What a watch from the revision brings.
  std::vector<StoreChange> After(Revision revision) const;

 private:
  struct Record {
    RecordWritten written;
    StoreLease lease;
  };
  struct Lease {
    NodeId node;
    DurationMs ttl;
    TimeMs ends;
  };
  struct Content {
    std::uint64_t revision = 100;
    std::uint64_t last_lease = 0;
    std::map<std::string, Record> records;
    std::map<StoreLease, Lease> leases;
    std::vector<std::pair<Revision, StoreChange>> history;
  };

  void Log(StoreChange change);
  void EndLeases(const std::function<bool(const Lease&)>& is_over);

  const Clock& m_clock;
  StoreEra m_era{1};
  Content m_content;
  std::map<EndpointId, EndpointEntry> m_engines;
  std::deque<std::pair<TimeMs, Content>> m_copies;
  TimeMs m_away_until;
  bool m_leases_pause = false;
  std::map<NodeId, TimeMs> m_turned_away;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_SIMULATED_FLEET_STORE_H_
