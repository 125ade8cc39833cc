/// \file
/// \brief Registers a node in the store under a lease, and keeps the lease
/// alive.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_LEASE_KEEPER_H_
#define YUCCAMOOR_TRANSPORT_FLEET_LEASE_KEEPER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

#include "yuccamoor/coordination/fleet/fleet_store.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// The node's lease, record and claims. Calls to the store that fail are
/// repeated after a pause.
class LeaseKeeper {
 public:
  /// \p on_change is called when the lease is taken over or lost.
  LeaseKeeper(NodeContext& context, FleetStore& store,
              std::function<void()> on_change);

  /// Takes over the lease that this node's record in the view names, if there
  /// is one, else gets a new one. Called with the first view of each era.
  void Begin();
  /// The store came back with an older copy. The lease may be gone, and its
  /// number given to another node: it counts only if the record that is read
  /// anew names it.
  void OnStoreRestored();
  /// Makes the next call to the store when it is due. Must be called several
  /// times a second.
  void OnTick(TimeMs now);
  bool has_begun() const { return m_has_begun; }

  /// The lease, while its records surely stand if nobody takes them away.
  std::optional<StoreLease> lease() const { return m_lease; }
  /// When the last renewal that succeeded was sent.
  TimeMs renewed() const { return m_renewed; }
  /// Fencing numbers of the holder records that stood under the lease of this
  /// VM's earlier process when it was taken over, and with which that process
  /// has said that it orders; while the lease lasts.
  const std::set<Epoch>& taken_over() const { return m_taken_over; }

  /// Claims the right to give orders to an engine, under the lease.
  /// \p done gets the holder's record, or nothing if it was not written.
  void Claim(const EndpointId& engine,
             std::function<void(std::optional<RecordWritten>)> done);

  /// Writes, under the lease, with which fencing numbers the node has begun to
  /// order: a process that starts again on this VM goes on with just these.
  /// \p done gets the record, or nothing if it may not have been written.
  void StateOrdering(const std::set<Epoch>& fences,
                     std::function<void(std::optional<RecordWritten>)> done);

 private:
  using RecordDone = std::function<void(std::optional<RecordWritten>)>;

  std::set<Epoch> OrderedFences() const;
  std::function<void(const WriteReply&)> TakeReply(RecordWritten record,
                                                   RecordDone done) const;
  void Adopt(StoreLease lease);
  void Keep();
  void Grant();
  void Register();
  void Renew();
  void Lose(const char* reason);
  void Drop(const char* reason);
  void KeepAfter(DurationMs pause);

  NodeContext& m_context;
  FleetStore& m_store;
  std::function<void()> m_on_change;
  // Empty while a call is under way.
  std::optional<TimeMs> m_next_call;
  bool m_has_begun = false;
  // Answers to calls of earlier eras are passed over.
  std::uint64_t m_era_count = 0;
  std::set<Epoch> m_taken_over;
  bool m_registered = false;
  std::uint32_t m_register_conflicts = 0;
  std::optional<StoreLease> m_lease;
  TimeMs m_renewed;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_LEASE_KEEPER_H_
