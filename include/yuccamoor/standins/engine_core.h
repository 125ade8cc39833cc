/// \file
/// \brief The engine stand-in's slots, batch and streams, apart from its
/// transport. Takes the time as an argument.

#ifndef YUCCAMOOR_STANDINS_ENGINE_CORE_H_
#define YUCCAMOOR_STANDINS_ENGINE_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "yuccamoor/protocol/platform/generation.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/engine.h"

namespace yuccamoor {

class AsyncEvent;

/// What one engine is like.
struct EngineOptions {
  WorkerId worker;
  std::uint32_t slots = 4;
  std::uint32_t batch = 8;
  /// The time of one step, in which each running stream gets one token.
  DurationMs token_time{20};
  /// Whether an order with an epoch below one seen before is refused.
  bool check_epoch = true;
  /// How old a load report is when it is read.
  DurationMs report_lag;
};

/// What the engine counts; the checkers read it.
struct EngineCounters {
  std::uint64_t loads_done = 0;
  std::uint64_t loads_failed = 0;
  std::uint64_t evictions = 0;
  /// Evictions that cut streams: a promise of the system was broken.
  std::uint64_t evictions_in_use = 0;
  std::uint64_t stale_orders = 0;
  std::uint64_t streams_started = 0;
  /// Requests that were answered with a stream that was there already.
  std::uint64_t attempts_joined = 0;
  std::uint64_t streams_finished = 0;
  std::uint64_t streams_cut = 0;
  std::uint64_t streams_cancelled = 0;
  std::uint64_t not_resident = 0;
  std::uint64_t tokens = 0;
  /// Steps in which something ran or waited.
  std::uint64_t busy_steps = 0;
};

/// Returns the counters' JSON text, with the instance and the batch's size.
std::string EncodeEngineCounters(const EngineCounters& counters,
                                 const InstanceId& instance,
                                 std::uint32_t batch);

/// How far a stream is.
enum class StreamPhase : std::uint8_t {
  kQueued,
  kRunning,
  kFinished,
  kCancelled,
  /// Its adapter was evicted or the engine restarted.
  kCut,
};

/// One request in the engine.
struct EngineStream {
  /// As it was first sent, with the latest attempt.
  GenerateRequest request;
  InstanceId instance;
  StreamPhase phase = StreamPhase::kQueued;
  std::uint32_t produced = 0;
  /// Woken when the stream has moved.
  std::vector<std::weak_ptr<AsyncEvent>> followers;
};

using EngineStreamPtr = std::shared_ptr<EngineStream>;

/// Why a generation request was not taken.
enum class GenerateRefusal : std::uint8_t {
  kNone,
  kNotResident,
  kLeaving,
  /// A resume of a stream that the engine does not hold.
  kUnknownStream,
  /// The request id belongs to a request with another target or prompt.
  kMismatch,
  kQueueFull,
};

/// The engine's state. Not thread-safe.
class EngineCore {
 public:
  EngineCore(EngineOptions options, InstanceId instance);

  /// Takes an order. An eviction ends at once; a load that was begun, or that
  /// is already under way, returns nothing.
  std::optional<OrderStatus> TakeOrder(const EngineOrder& order);
  /// Ends a load that \p instance has begun.
  void EndLoad(const AdapterVersion& target, const InstanceId& instance,
               bool loaded);
  bool IsLoading(const AdapterVersion& target) const;
  bool IsResident(const AdapterVersion& target) const;

  /// Takes a request or finds the stream that it resumes.
  std::pair<GenerateRefusal, EngineStreamPtr> Generate(
      const GenerateRequest& request);
  /// Returns whether there was something to cancel. A cancel by an earlier
  /// attempt than the stream's latest has no effect: another gateway follows
  /// the stream by now.
  bool Cancel(const RequestId& id, std::uint32_t attempt);

  /// Fills the batch from the queue by priority, gives each running stream one
  /// token and notes a load report.
  void Step(TimeMs now);

  /// Loses every slot and stream, and goes on as another instance.
  void Restart(InstanceId instance);
  void SetLeaving(bool leaving) { m_leaving = leaving; }

  /// Returns the newest report that is at least the lag old.
  std::optional<EngineReport> Report(TimeMs now);
  const InstanceId& instance() const { return m_instance; }
  const EngineCounters& counters() const { return m_counters; }

 private:
  struct NotedReport {
    TimeMs at;
    EngineReport report;
  };
  /// Priority, then arrival.
  using QueueKey = std::pair<Priority, std::uint64_t>;

  OrderStatus Evict(const AdapterVersion& target);
  /// Ends every stream of the target, or of all targets; returns their number.
  std::size_t CutStreams(const AdapterVersion* target);
  void End(EngineStream& stream, StreamPhase phase);
  void Advance(const EngineStreamPtr& stream);
  void ForgetOldStreams();
  EngineReport CurrentReport();

  EngineOptions m_options;
  InstanceId m_instance;
  bool m_leaving = false;
  /// The highest epoch seen, by cell. An engine that restarts forgets it.
  std::unordered_map<CellId, Epoch> m_epochs;
  /// Occupied slots; true: ready, false: loading.
  std::map<AdapterVersion, bool> m_slots;
  std::unordered_map<RequestId, EngineStreamPtr> m_streams;
  /// Streams by age of their end, so that the oldest can be forgotten.
  std::deque<EngineStreamPtr> m_ended;
  std::map<QueueKey, EngineStreamPtr> m_queue;
  std::vector<EngineStreamPtr> m_running;
  std::uint64_t m_arrivals = 0;
  Sequence m_sequence;
  std::deque<NotedReport> m_reports;
  EngineCounters m_counters;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_ENGINE_CORE_H_
