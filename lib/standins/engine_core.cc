/// \file
/// \brief The engine stand-in's slots, batch and streams.

#include "yuccamoor/standins/engine_core.h"

#include <algorithm>

#include "yuccamoor/transport/async_event.h"

namespace yuccamoor {
namespace {

constexpr std::size_t kMaxQueued = 100'000;
constexpr std::size_t kMaxEndedStreams = 10'000;
constexpr std::size_t kMaxReports = 10'000;

bool IsLive(const EngineStream& stream) {
  return stream.phase == StreamPhase::kQueued ||
         stream.phase == StreamPhase::kRunning;
}

/// Whether the stream has ended whole or may still do so.
bool CanFollow(const EngineStream& stream) {
  return IsLive(stream) || stream.phase == StreamPhase::kFinished;
}

void WakeFollowers(EngineStream& stream) {
  std::erase_if(stream.followers, [](const auto& f) { return f.expired(); });
  for (const auto& follower : stream.followers) {
    if (const auto event = follower.lock()) event->Notify();
  }
}

}  // namespace

EngineCore::EngineCore(EngineOptions options, InstanceId instance)
    : m_options(std::move(options)), m_instance(std::move(instance)) {}

std::optional<OrderStatus> EngineCore::TakeOrder(const EngineOrder& order) {
  Epoch& highest = m_epochs[order.cell];
  if (order.epoch < highest) {
    ++m_counters.stale_orders;
    if (m_options.check_epoch) return OrderStatus::kStaleEpoch;
  }
  highest = std::max(highest, order.epoch);
  if (order.kind == OrderKind::kEvict) return Evict(order.target);
  const auto slot = m_slots.find(order.target);
  if (slot != m_slots.end()) {
    return slot->second ? std::optional(OrderStatus::kDone) : std::nullopt;
  }
  if (m_slots.size() >= m_options.slots) return OrderStatus::kNoSlot;
  m_slots[order.target] = false;
  return std::nullopt;
}

void EngineCore::EndLoad(const AdapterVersion& target,
                         const InstanceId& instance, bool loaded) {
  if (instance != m_instance || !IsLoading(target)) return;
  if (loaded) {
    m_slots[target] = true;
    ++m_counters.loads_done;
    return;
  }
  m_slots.erase(target);
  ++m_counters.loads_failed;
}

bool EngineCore::IsLoading(const AdapterVersion& target) const {
  const auto slot = m_slots.find(target);
  return slot != m_slots.end() && !slot->second;
}

bool EngineCore::IsResident(const AdapterVersion& target) const {
  const auto slot = m_slots.find(target);
  return slot != m_slots.end() && slot->second;
}

OrderStatus EngineCore::Evict(const AdapterVersion& target) {
  if (!IsResident(target)) return OrderStatus::kFailed;
  if (CutStreams(&target) > 0) ++m_counters.evictions_in_use;
  m_slots.erase(target);
  ++m_counters.evictions;
  return OrderStatus::kDone;
}

std::pair<GenerateRefusal, EngineStreamPtr> EngineCore::Generate(
    const GenerateRequest& request) {
  const auto known = m_streams.find(request.request_id);
  if (known != m_streams.end() && CanFollow(*known->second)) {
    GenerateRequest& first = known->second->request;
    const bool same =
        first.target == request.target && first.prompt == request.prompt;
    if (!same) return {GenerateRefusal::kMismatch, nullptr};
    first.attempt = std::max(first.attempt, request.attempt);
    ++m_counters.attempts_joined;
    return {GenerateRefusal::kNone, known->second};
  }
  if (m_leaving) return {GenerateRefusal::kLeaving, nullptr};
  if (request.resume_from > 0) {
    return {GenerateRefusal::kUnknownStream, nullptr};
  }
  if (!IsResident(request.target)) {
    ++m_counters.not_resident;
    return {GenerateRefusal::kNotResident, nullptr};
  }
  if (m_queue.size() >= kMaxQueued) {
    return {GenerateRefusal::kQueueFull, nullptr};
  }
  auto stream = std::make_shared<EngineStream>();
  stream->request = request;
  stream->instance = m_instance;
  m_streams[request.request_id] = stream;
  m_queue[QueueKey(request.priority, ++m_arrivals)] = stream;
  ++m_counters.streams_started;
  return {GenerateRefusal::kNone, stream};
}

bool EngineCore::Cancel(const RequestId& id, std::uint32_t attempt) {
  const auto found = m_streams.find(id);
  if (found == m_streams.end() || !IsLive(*found->second)) return false;
  if (attempt < found->second->request.attempt) return false;
  ++m_counters.streams_cancelled;
  End(*found->second, StreamPhase::kCancelled);
  return true;
}

void EngineCore::Step(TimeMs now) {
  std::erase_if(m_queue, [](const auto& q) { return !IsLive(*q.second); });
  std::erase_if(m_running, [](const auto& s) { return !IsLive(*s); });
  while (m_running.size() < m_options.batch && !m_queue.empty()) {
    const EngineStreamPtr stream = m_queue.begin()->second;
    m_queue.erase(m_queue.begin());
    stream->phase = StreamPhase::kRunning;
    m_running.push_back(stream);
  }
  if (!m_running.empty()) ++m_counters.busy_steps;
  for (const EngineStreamPtr& stream : m_running) Advance(stream);
  std::erase_if(m_running, [](const auto& s) { return !IsLive(*s); });
  ForgetOldStreams();
  m_reports.push_back(NotedReport{now, CurrentReport()});
  if (m_reports.size() > kMaxReports) m_reports.pop_front();
}

void EngineCore::Advance(const EngineStreamPtr& stream) {
  ++stream->produced;
  ++m_counters.tokens;
  if (stream->produced < stream->request.max_tokens) {
    WakeFollowers(*stream);
    return;
  }
  ++m_counters.streams_finished;
  End(*stream, StreamPhase::kFinished);
}

void EngineCore::End(EngineStream& stream, StreamPhase phase) {
  stream.phase = phase;
  m_ended.push_back(m_streams.at(stream.request.request_id));
  WakeFollowers(stream);
}

std::size_t EngineCore::CutStreams(const AdapterVersion* target) {
  std::size_t cut = 0;
  for (const auto& [id, stream] : m_streams) {
    if (!IsLive(*stream)) continue;
    if (target != nullptr && stream->request.target != *target) continue;
    End(*stream, StreamPhase::kCut);
    ++cut;
  }
  m_counters.streams_cut += cut;
  return cut;
}

void EngineCore::ForgetOldStreams() {
  while (m_ended.size() > kMaxEndedStreams) {
    const auto found = m_streams.find(m_ended.front()->request.request_id);
    // A cut stream may have been started anew under the same id.
    if (found != m_streams.end() && found->second == m_ended.front()) {
      m_streams.erase(found);
    }
    m_ended.pop_front();
  }
}

void EngineCore::Restart(InstanceId instance) {
  CutStreams(nullptr);
  m_streams.clear();
  m_ended.clear();
  m_queue.clear();
  m_running.clear();
  m_slots.clear();
  m_epochs.clear();
  m_sequence = Sequence();
  m_leaving = false;
  m_instance = std::move(instance);
}

EngineReport EngineCore::CurrentReport() {
  m_sequence = m_sequence.Next();
  EngineReport report;
  report.worker = m_options.worker;
  report.instance = m_instance;
  report.sequence = m_sequence;
  report.slots = m_options.slots;
  report.batch_capacity = m_options.batch;
  report.running = static_cast<std::uint32_t>(m_running.size());
  report.queued = static_cast<std::uint32_t>(m_queue.size());
  report.leaving = m_leaving;
  std::unordered_map<AdapterVersion, std::uint32_t> in_use;
  for (const auto& stream : m_running) ++in_use[stream->request.target];
  for (const auto& entry : m_queue) ++in_use[entry.second->request.target];
  for (const auto& [target, ready] : m_slots) {
    if (ready) {
      report.residents.push_back(ResidentReport{target, in_use[target]});
    } else {
      report.loading.push_back(target);
    }
  }
  return report;
}

std::optional<EngineReport> EngineCore::Report(TimeMs now) {
  const TimeMs visible = now - m_options.report_lag;
  while (m_reports.size() > 1 && m_reports[1].at <= visible) {
    m_reports.pop_front();
  }
  if (m_reports.empty() || m_reports.front().at > visible) return std::nullopt;
  EngineReport report = m_reports.front().report;
  report.age = now - m_reports.front().at;
  return report;
}

}  // namespace yuccamoor
