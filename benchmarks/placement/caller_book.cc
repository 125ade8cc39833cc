/// \file
/// \brief Implementation of the book of callers.

#include "caller_book.h"

#include <algorithm>
#include <cassert>

namespace yuccamoor::placement_benchmark {

CallerBook::CallerBook(const Workload* workload, CellState* state)
    : m_workload(workload),
      m_state(state),
      m_records(workload->requests.size()),
      m_queues(workload->targets.size()),
      m_failures(workload->targets.size()) {}

void CallerBook::Enqueue(RequestIndex request, TimeMs now, bool first) {
  RequestRecord& record = m_records[request];
  record.phase = RequestPhase::kWaiting;
  record.waiting_since = now;
  const TargetIndex target = m_workload->requests[request].target;
  if (first) {
    m_queues[target].push_front(request);
  } else {
    m_queues[target].push_back(request);
  }
  Mirror(target);
}

RequestIndex CallerBook::StartNext(TargetIndex target, std::uint32_t worker,
                                   TimeMs now) {
  assert(HasWaiters(target) && "nobody waits for the target");
  const RequestIndex request = m_queues[target].front();
  m_queues[target].pop_front();
  RequestRecord& record = m_records[request];
  record.waited = record.waited + (now - record.waiting_since);
  record.phase = RequestPhase::kRunning;
  record.started_at = now;
  record.worker = worker;
  Mirror(target);
  return request;
}

void CallerBook::StartWarm(RequestIndex request, std::uint32_t worker,
                           TimeMs now) {
  m_records[request].started_at = now;
  m_records[request].phase = RequestPhase::kRunning;
  m_records[request].worker = worker;
}

void CallerBook::Answer(RequestIndex request, TimeMs now) {
  m_records[request].served = now - m_records[request].started_at;
  m_records[request].phase = RequestPhase::kAnswered;
}

void CallerBook::Expire(RequestIndex request) {
  const bool waiting = m_records[request].phase == RequestPhase::kWaiting;
  m_records[request].phase = RequestPhase::kExpired;
  if (!waiting) return;
  const TargetIndex target = m_workload->requests[request].target;
  std::deque<RequestIndex>& queue = m_queues[target];
  queue.erase(std::find(queue.begin(), queue.end(), request));
  Mirror(target);
}

void CallerBook::Refuse(TargetIndex target) {
  for (const RequestIndex request : m_queues[target]) {
    m_records[request].phase = RequestPhase::kRefused;
  }
  m_queues[target].clear();
  Mirror(target);
}

void CallerBook::OnLoadFailed(TargetIndex target, TimeMs retry_at) {
  ++m_failures[target].count;
  m_failures[target].retry_at = retry_at;
  Mirror(target);
}

void CallerBook::OnLoadSucceeded(TargetIndex target) {
  m_failures[target] = Failures{};
  Mirror(target);
}

void CallerBook::Mirror(TargetIndex target) {
  const AdapterVersion& name = m_workload->targets[target];
  const std::deque<RequestIndex>& queue = m_queues[target];
  if (queue.empty()) {
    m_state->waiting.erase(name);
    return;
  }
  const CallerRequest& first = m_workload->requests[queue.front()];
  WaitingTarget& waiting = m_state->waiting[name];
  waiting.target = name;
  waiting.priority = m_workload->priorities[target];
  waiting.waiters = static_cast<std::uint32_t>(queue.size());
  waiting.since = m_records[queue.front()].waiting_since;
  waiting.deadline = first.deadline;
  waiting.failed_loads = m_failures[target].count;
  waiting.retry_at = m_failures[target].retry_at;
}

}  // namespace yuccamoor::placement_benchmark
