/// \file
/// \brief A small world of schedulers, gateways and engines in virtual time,
/// with faults, in which the promises of a cell are checked.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_CELL_WORLD_CELL_WORLD_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_CELL_WORLD_CELL_WORLD_H_

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "coordination/cell/first_fit_policy.h"
#include "coordination/cell/world/fake_engine.h"
#include "coordination/cell/world/world_basics.h"
#include "coordination/leadership/text_codec.h"
#include "yuccamoor/coordination/cell/cell_leader.h"
#include "yuccamoor/coordination/leadership/election.h"
#include "yuccamoor/coordination/residency/residency_client.h"

namespace yuccamoor::world {

constexpr std::size_t kSchedulers = 3;
constexpr std::size_t kGateways = 3;
constexpr std::size_t kWorkers = 2;
constexpr std::size_t kFirstGateway = kSchedulers;
constexpr std::size_t kFirstWorker = kFirstGateway + kGateways;
constexpr std::size_t kNodes = kFirstWorker + kWorkers;
constexpr std::size_t kTargets = 6;

constexpr DurationMs kStep{10};
constexpr DurationMs kOrderTimeout{400};
constexpr double kStoreRate = 8;
constexpr std::uint32_t kMaxInFlight = 2;

/// What a run saw.
struct Outcome {
  Violations violations;
  std::uint64_t served = 0;
  std::uint64_t loads = 0;
  std::uint64_t evictions = 0;
  std::uint64_t takeovers = 0;
  /// Evictions that reached an engine after a takeover.
  std::uint64_t late_evictions = 0;
  /// Streams that were cancelled as accepted too late.
  std::uint64_t unconfirmed = 0;
  TimeMs last_load;
};

/// Runs one schedule.
class CellWorld {
 public:
  explicit CellWorld(Schedule schedule);

  /// Runs the faults of the schedule, then a quiet time in which a request must
  /// be served.
  Outcome Run();

  /// Runs for a while, with callers.
  void RunFor(DurationMs time);
  /// The scheduler that may order now, or kSchedulers.
  std::size_t Leader() const;
  void Apply(const Fault& fault);
  const Outcome& outcome() const { return m_outcome; }
  TimeMs now() const { return m_queue.now; }

 private:
  using Event = EventQueue::Event;

  struct Process {
    bool alive = true;
    std::uint64_t life = 1;
    TimeMs frozen_until;
    std::vector<Event> inbox;
  };
  struct Scheduler {
    std::optional<Election> election;
    std::optional<CellLeader> leader;
    std::set<std::pair<Epoch, OrderNumber>> open_orders;
  };
  struct Request {
    AdapterVersion target;
    WaiterId waiter;
    TimeMs deadline;
    bool probe = false;
  };
  struct Gateway {
    std::optional<ResidencyClient> client;
    std::size_t leader = 0;
    std::deque<Request> waiting;
    std::vector<StreamPtr> streams;
    std::map<Sequence, TimeMs> sync_sent;
  };
  /// One attempt of a request on an engine.
  struct Attempt {
    Request request;
    Placement placement;
    StreamPtr stream;
    std::size_t gateway = 0;
    std::size_t worker = 0;
    std::uint64_t life = 0;
    bool answered = false;
    bool ended = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  // Processes, time and messages.
  TimeMs Local(std::size_t node) const;
  bool Running(std::size_t node) const;
  bool IsCut(std::size_t a, std::size_t b) const;
  void Deliver(std::size_t to, Event event);
  void DeliverToLife(std::size_t to, std::uint64_t life, Event event);
  void Send(std::size_t from, std::size_t to, const Event& event);
  DurationMs Transit(std::int64_t longest);
  void Freeze(std::size_t node, DurationMs time);
  void Start(std::size_t node);
  void Kill(std::size_t node, DurationMs time);
  void StepAll();
  void CutIsland(std::size_t gateway, TimeMs until);
  void Heal();

  // Schedulers.
  static NodeId NameOf(std::size_t node);
  Candidate CandidateAt(std::size_t node) const;
  void StartScheduler(std::size_t node);
  void TickScheduler(std::size_t node);
  void Perform(std::size_t node, const ElectionActions& actions);
  void Perform(std::size_t node, const CellActions& actions);
  void CallService(std::size_t node, const KvCall& call);
  void SendHold(std::size_t node, const SendHoldRequest& send);
  void SendSettle(std::size_t node, const SendSettleRequest& send);
  void Plant(EvictionClearance& clearance) const;
  void BeginTerm(std::size_t node, const BecameLeader& term);
  void SendToEngine(std::size_t node, const SendOrder& send);
  bool IsLate(const EngineOrder& order) const;
  void CheckLateEviction(const EngineOrder& order);
  void OnOrder(
      std::size_t worker, const EngineOrder& order,
      const std::function<void(OrderStatus, const InstanceId&)>& reply);
  void SendUpdateTo(std::size_t from, const ResidencyUpdate& update);
  void PublishReports();

  // Gateways.
  void StartGateway(std::size_t node);
  void TickGateway(std::size_t node);
  void LearnLeader(std::size_t node);
  void AddRequest(std::size_t node, const AdapterVersion& target, bool probe);
  void SendSync(std::size_t node, const ResidencySync& sync);
  void Dispatch(std::size_t node, const Request& request);
  void Write(const AttemptPtr& attempt);
  void OnAccepted(const AttemptPtr& attempt);
  void GiveUp(const AttemptPtr& attempt);
  void End(const AttemptPtr& attempt);

  Gateway& GatewayAt(std::size_t node) {
    return m_gateways[node - kFirstGateway];
  }
  FakeEngine& EngineAt(std::size_t node) {
    return m_engines[node - kFirstWorker];
  }

  Schedule m_schedule;
  Random m_random;
  EventQueue m_queue;
  TextCodec m_codec;
  CellConfig m_config;
  std::vector<AdapterVersion> m_targets;
  std::array<Process, kNodes> m_processes;
  std::array<Scheduler, kSchedulers> m_schedulers;
  std::array<Gateway, kGateways> m_gateways;
  std::vector<FakeEngine> m_engines;
  FakeKeyValue m_service;
  TimeMs m_service_down_until;
  TimeMs m_service_slow_until;
  TimeMs m_answers_lost_until;
  std::array<TimeMs, kSchedulers> m_service_cut_until;
  std::array<std::array<TimeMs, kNodes>, kNodes> m_cut_until;
  StoreMeter m_meter;
  /// Loads of an old epoch that are under way.
  std::size_t m_late_loads = 0;
  Outcome m_outcome;
  bool m_noise;
  bool m_callers = true;
  bool m_probe_served = false;
};

}  // namespace yuccamoor::world

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_CELL_WORLD_CELL_WORLD_H_
