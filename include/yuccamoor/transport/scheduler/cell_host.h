/// \file
/// \brief Runs one cell in a scheduler: the election, and while it leads, the
/// cell's leader. Carries their messages, calls and orders.

#ifndef YUCCAMOOR_TRANSPORT_SCHEDULER_CELL_HOST_H_
#define YUCCAMOOR_TRANSPORT_SCHEDULER_CELL_HOST_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/coordination/cell/cell_leader.h"
#include "yuccamoor/coordination/leadership/election.h"
#include "yuccamoor/protocol/leadership_codec.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/config_snapshot.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

class EngineClient;
class KeyValueService;
class PeerChannel;

/// What a host uses. All of it must outlive the host.
struct CellHostServices {
  PeerChannel& peers;
  KeyValueService& key_value;
  EngineClient& engines;
  const Clock& clock;
};

/// Makes the placement policy of a new leader.
using PolicyFactory =
    std::function<std::unique_ptr<PlacementPolicy>(const CellConfig&)>;

/// What operators see of a cell.
struct CellStatus {
  CellId cell;
  bool leading = false;
  bool may_order = false;
  Epoch epoch;
  std::string leader_address;
  /// The leader's view; empty in other processes.
  CellState state;
};

/// One cell in one scheduler. Safe to use from several threads; its mutex is a
/// leaf of the lock order, and no call leaves the process while it is held.
class CellHost : public std::enable_shared_from_this<CellHost> {
 public:
  static Result<std::shared_ptr<CellHost>> Create(CellHostServices services,
                                                  ElectionOptions election,
                                                  CellLeaderOptions leader,
                                                  PolicyFactory make_policy);

  /// Takes the cell's configuration in force.
  void OnConfig(std::shared_ptr<const CellConfig> config);
  /// Takes the live candidates for the cell's leadership.
  void OnCandidates(CandidateList candidates);
  /// Takes the gateways that may live, from a list whose read began at
  /// \p listed_at.
  void OnGateways(std::vector<NodeId> gateways, TimeMs listed_at);

  /// Handles a gateway's sync; returns an update or a NotLeader, encoded.
  std::string HandleSync(const ResidencySync& sync);
  /// Handles a leader's request not to take over.
  HoldReply HandleHold(const HoldRequest& request);
  /// Handles a later leader's question for orders of an earlier term.
  SettleReply HandleSettle(const SettleRequest& request);

  /// Does what is due. Called every few milliseconds.
  void Tick();

  /// Steps down.
  void Resign();
  /// Whether the leadership has been handed over, or was not held.
  bool Resigned() const;

  CellStatus Status() const;

 private:
  /// What leaves the process once the mutex is free.
  struct Outbox {
    ElectionActions election;
    CellActions cell;
    std::vector<WorkerConfig> reports;
  };
  /// When a worker's reports were and are to be read.
  struct ReportSchedule {
    TimeMs last;
    TimeMs next;
    bool running = false;
  };

  CellHost(CellHostServices services, CellLeaderOptions leader_options,
           PolicyFactory make_policy);

  void Apply(ElectionActions actions, Outbox& outbox);
  void StartLeading(const BecameLeader& start);
  void TickLeader(TimeMs now, Outbox& outbox);
  void CollectDueReports(TimeMs now, Outbox& outbox);
  void Send(const Outbox& outbox);
  void SendKvCall(const KvCall& call);
  void SendHold(const SendHoldRequest& request);
  void SendSettle(const SendSettleRequest& request);
  void CountOrders(const CellActions& actions);
  void SendUpdateTo(const SendUpdate& action);
  void SendOrderTo(const SendOrder& action);
  void SendReport(const WorkerConfig& worker);
  std::string LeaderAddress() const;

  CellHostServices m_services;
  CellLeaderOptions m_leader_options;
  PolicyFactory m_make_policy;
  JsonRecordCodec m_codec;

  mutable std::mutex m_mutex;
  std::optional<Election> m_election;
  std::optional<BecameLeader> m_pending_start;
  std::optional<CellLeader> m_leader;
  std::shared_ptr<const CellConfig> m_config;
  TimeMs m_leading_since;
  /// Orders without a result, by the epoch of their term.
  std::map<Epoch, std::size_t> m_open_orders;
  std::map<NodeId, std::string> m_reply_to;
  std::map<WorkerId, ReportSchedule> m_reports;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_SCHEDULER_CELL_HOST_H_
