/// \file
/// \brief A gateway in virtual time: a shard, its calls, and an endpoint that
/// loses, refuses and delays. It can be paused or killed between any two steps.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_SCHEDULE_GATEWAY_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_SCHEDULE_GATEWAY_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "coordination/request/interning_codec.h"
#include "coordination/request/schedule_kv.h"
#include "coordination/request/schedule_ledger.h"
#include "yuccamoor/coordination/request/endpoint_set.h"
#include "yuccamoor/coordination/request/endpoint_tracker.h"
#include "yuccamoor/coordination/request/idempotency_shard.h"
#include "yuccamoor/coordination/request/plain_call.h"
#include "yuccamoor/coordination/request/retry_budget.h"

namespace yuccamoor {

/// What all gateways of one schedule share.
struct ScheduleWorld {
  explicit ScheduleWorld(std::uint64_t seed, PlantedFault planted)
      : timeline(seed),
        kv(timeline),
        codec(planted == PlantedFault::kSegmentsForgotten),
        fault(planted) {}

  Timeline timeline;
  ScheduleKv kv;
  InterningCodec codec;
  ScheduleLedger ledger;
  PlantedFault fault;
  double endpoint_faults = 0;
};

/// One life of a gateway.
class ScheduleGateway {
 public:
  ScheduleGateway(ScheduleWorld& world, ShardOwner owner)
      : m_world(world),
        m_clock_offset(world.timeline.Delay(1'000'000)),
        m_endpoints(m_tracker, CircuitOptions{}),
        m_budget(RetryBudgetOptions{}) {
    ShardOptions options;
    options.record_key = "shard/0";
    options.running_grace = DurationMs(1'500);
    // Small segments, so that every schedule makes some.
    options.seal_bytes = 600;
    if (world.fault == PlantedFault::kOwnersAlike) {
      owner = {NodeId("gateway"), Incarnation(1), 1};
    }
    m_shard = std::move(
        IdempotencyShard::Create(options, owner, world.codec).value());
    m_endpoints.OnConfig({{EndpointId("e1"), "10.0.0.1:80", {}, VmId("v1")},
                          {EndpointId("e2"), "10.0.0.2:80", {}, VmId("v2")}});
  }

  void Kill() { m_dead = true; }
  void Pause(DurationMs time) {
    m_paused_until = std::max(m_paused_until, m_world.timeline.now() + time);
  }
  bool dead() const { return m_dead; }
  bool Idle() const { return m_shard->Idle() && m_calls.empty(); }

  void OnOwnerGone(const NodeId& node, Incarnation up_to) {
    Step([this, node, up_to] {
      Take(m_shard->OnOwnerGone(node, up_to, Now()));
    });
  }

  /// A caller's sending arrives.
  void Arrive(const Sending& sending, std::uint64_t hash, DurationMs ago) {
    Step([this, sending, hash, ago] {
      PlainCallSpec spec;
      spec.request = sending.request;
      spec.idempotent = false;
      spec.key = sending.key;
      if (m_world.fault == PlantedFault::kKeyByConnection) {
        spec.key = IdempotencyKey(sending.key.str() + sending.request.str());
      }
      spec.body_hash = BodyHash(hash);
      if (sending.repeat) spec.first_sent_ago = ago;
      spec.deadline = Now() + DurationMs(5'000);
      spec.attempt_timeout = DurationMs(1'000);
      const auto [call, added] = m_calls.emplace(
          sending.request,
          Call{sending, spec.key, PlainCall(spec, m_endpoints, m_budget)});
      Take(sending.request, call->second.plain.Start(Random(), Now()));
    });
  }

 private:
  struct Call {
    Sending sending;
    IdempotencyKey key;
    PlainCall plain;
    bool right_used = false;
  };

  TimeMs Now() const { return m_world.timeline.now() + m_clock_offset; }
  double Random() { return m_world.timeline.Share(); }
  Call* Find(const RequestId& request) {
    const auto found = m_calls.find(request);
    return found == m_calls.end() ? nullptr : &found->second;
  }

  /// Runs the step soon, unless this life ends before; a pause holds it up.
  void Step(std::function<void()> step) {
    m_world.timeline.After(m_world.timeline.Delay(2),
                           [this, step = std::move(step)] { Execute(step); });
  }

  void Execute(const std::function<void()>& step) {
    if (m_dead) return;
    if (m_world.timeline.now() < m_paused_until) {
      m_world.timeline.At(m_paused_until, [this, step] { Execute(step); });
      return;
    }
    step();
    ScheduleTick();
  }

  void ScheduleTick() {
    const TimeMs next = m_shard->NextTick(Now());
    if (next == TimeMs::Never() || m_tick_pending) return;
    m_tick_pending = true;
    const DurationMs wait = std::max(next - Now(), DurationMs(1));
    m_world.timeline.After(std::min(wait, DurationMs(20)), [this] {
      m_tick_pending = false;
      Execute([this] { Take(m_shard->Tick(Now())); });
    });
  }

  void Take(const ShardActions& actions) {
    for (const ShardAction& action : actions) {
      std::visit([this](const auto& a) { Step([this, a] { On(a); }); }, action);
    }
  }

  void On(const ShardKvCall& call) {
    const bool write = std::holds_alternative<KvCompareAndSwap>(call.request);
    if (write && m_world.fault == PlantedFault::kDispatchBeforeCommit) {
      for (auto& [request, waiting] : m_calls) UseRight(request);
    }
    const bool dup = m_world.timeline.Chance(0.02);
    m_world.kv.Call(call.request, [this, call, write, dup](KvReply reply) {
      if (write && reply.status == KvStatus::kUnknown &&
          m_world.fault == PlantedFault::kLostWriteAssumedDone) {
        reply.status = KvStatus::kOk;
        reply.version =
            std::get<KvCompareAndSwap>(call.request).expected.Next();
      }
      for (int i = 0; i < (dup ? 2 : 1); ++i) {
        Step([this, call, reply] {
          Take(m_shard->OnKvReply(call.number, reply, Now()));
        });
      }
    });
  }

  void On(const ShardDispatch& dispatch) {
    m_shard_runs.insert(dispatch.request);
    UseRight(dispatch.request);
  }

  void UseRight(const RequestId& request) {
    Call* call = Find(request);
    if (call == nullptr || call->right_used) return;
    call->right_used = true;
    Take(request, call->plain.OnDispatchRight(Random(), Now()));
  }

  void On(const ShardReplay& replay) {
    Call* call = Find(replay.request);
    if (call == nullptr) return;
    StoredAnswer answer = replay.answer;
    if (m_world.fault == PlantedFault::kAnswerOfAnotherKey) answer.body += "!";
    Take(replay.request, call->plain.OnReplay(answer));
  }

  void On(const ShardRefuse& refusal) {
    Call* call = Find(refusal.request);
    if (call == nullptr || call->right_used) return;
    if (m_world.fault == PlantedFault::kLeaseAsGuard &&
        refusal.reason == ShardRefusal::kOutcomeUnknown) {
      return UseRight(refusal.request);
    }
    Take(refusal.request, call->plain.OnShardRefused(refusal));
  }

  void Take(const RequestId& request, const PlainSteps& steps) {
    for (const PlainStep& step : steps) {
      std::visit(
          [this, &request](const auto& s) {
            Step([this, request, s] { On(request, s); });
          },
          step);
    }
  }

  void On(const RequestId&, const BeginKeyStep& step) {
    Take(m_shard->Begin(step.begin, Now()));
  }

  void On(const RequestId& request, const FinishKeyStep& step) {
    // A planted fault may finish what the shard never let run.
    if (m_shard_runs.erase(request) == 0) return;
    Take(m_shard->Finish(step.key, step.outcome, step.answer, Now()));
  }

  void On(const RequestId& request, const EndStep& step) {
    CallEnd end = step.end;
    if (m_world.fault == PlantedFault::kLostAnswerToldNotRun &&
        end.error == CallError::kAnswerLost) {
      end.outcome = Outcome::kNotRun;
    }
    m_world.ledger.OnTold(Find(request)->sending, end);
    m_calls.erase(request);
  }

  void On(const RequestId& request, const SendStep& step) {
    Call* call = Find(request);
    Timeline& timeline = m_world.timeline;
    const bool faulty = timeline.Chance(m_world.endpoint_faults);
    const std::uint32_t fate = faulty ? timeline.Below(4) : 4;
    if (fate == 0 || !call->plain.OnDispatch(step.attempt, Now())) {
      return Take(request,
                  call->plain.OnNotSent(step.attempt, Random(), Now()));
    }
    const Sending sending = call->sending;
    if (fate == 1) {
      return Report(request, [this, step](PlainCall& plain) {
        return plain.OnRefused(step.attempt, Random(), Now());
      });
    }
    timeline.After(timeline.Delay(fate == 2 ? 2'000 : 30), [this, sending] {
      m_world.ledger.OnRun(sending.key, sending.request);
    });
    if (fate < 4) return Lose(request, step.attempt, sending);
    timeline.After(DurationMs(30), [this, request, step, sending] {
      StoredAnswer answer;
      answer.status = 200;
      answer.body = AnswerTo(sending.key);
      Report(request, [this, step, answer](PlainCall& plain) {
        return plain.OnAnswer(step.attempt, answer, true, Now());
      });
    });
  }

  void Lose(const RequestId& request, AttemptNumber attempt,
            const Sending& sending) {
    m_world.timeline.After(
        DurationMs(1'000), [this, request, attempt, sending] {
          if (m_world.fault == PlantedFault::kRetryAfterLostAnswer && !m_dead) {
            m_world.ledger.OnRun(sending.key, sending.request);
          }
          Report(request, [this, attempt](PlainCall& plain) {
            return plain.OnLost(attempt, Random(), Now());
          });
        });
  }

  /// Reports an attempt's event, now and then twice.
  void Report(const RequestId& request,
              const std::function<PlainSteps(PlainCall&)>& event) {
    const int times = m_world.timeline.Chance(0.02) ? 2 : 1;
    for (int i = 0; i < times; ++i) {
      Step([this, request, event] {
        Call* call = Find(request);
        if (call != nullptr) Take(request, event(call->plain));
      });
    }
  }

  ScheduleWorld& m_world;
  DurationMs m_clock_offset;
  EndpointTracker m_tracker;
  EndpointSet m_endpoints;
  RetryBudget m_budget;
  std::unique_ptr<IdempotencyShard> m_shard;
  std::map<RequestId, Call> m_calls;
  std::set<RequestId> m_shard_runs;
  TimeMs m_paused_until;
  bool m_dead = false;
  bool m_tick_pending = false;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_SCHEDULE_GATEWAY_H_
