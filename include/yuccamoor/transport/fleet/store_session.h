/// \file
/// \brief Keeps a node's view of the store up to date, and its lease alive.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_STORE_SESSION_H_
#define YUCCAMOOR_TRANSPORT_FLEET_STORE_SESSION_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "yuccamoor/coordination/fleet/fleet_store.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// Reads everything once, then watches; registers the node under a lease.
class StoreSession {
 public:
  StoreSession(NodeContext& context, FleetStore& store);

  /// Starts reading and registering. \p on_change is called after each change
  /// of the view.
  void Start(std::function<void()> on_change);
  /// Whether the store has answered lately.
  bool IsFresh(TimeMs now) const;
  /// Whether the lease of this VM's earlier process was taken over.
  bool adopted() const { return m_adopted; }

  /// The lease, while its records surely stand if nobody takes them away.
  std::optional<StoreLease> lease() const { return m_lease; }
  /// When the last renewal that succeeded was sent.
  TimeMs renewed() const { return m_renewed; }

  /// Claims the right to give orders to an engine, under the lease.
  void Claim(const EndpointId& engine,
             std::function<void(std::optional<Epoch>)> done);

 private:
  void ReadAll();
  void Watch();
  void OnReading(const StoreReadResult& reading, bool whole);
  void ApplyAll(const StoreReadResult& reading, bool whole, TimeMs now);
  void Again(DurationMs pause, std::function<void()> step);
  void NoteAnswer(StoreStatus status);
  void LogNews(const StoreChange& change, ViewUpdate news);

  void BeginLease();
  void Adopt(StoreLease lease);
  void KeepLease();
  void Grant();
  void Renew();
  void LoseLease(const char* reason);
  void Register();
  void LeaseAgain(DurationMs pause);

  NodeContext& m_context;
  FleetStore& m_store;
  std::function<void()> m_on_change;
  boost::asio::steady_timer m_watch_timer;
  boost::asio::steady_timer m_lease_timer;
  TimeMs m_started;
  Revision m_as_of;
  bool m_has_view = false;
  bool m_reachable = true;
  bool m_lease_begun = false;
  bool m_adopted = false;
  bool m_registered = false;
  std::uint32_t m_register_conflicts = 0;
  TimeMs m_last_answer;
  std::optional<StoreLease> m_lease;
  TimeMs m_renewed;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_STORE_SESSION_H_
