/// \file
/// \brief A bounded queue with priority classes and early refusal.

#include "yuccamoor/coordination/request/admission_queue.h"

#include <algorithm>

namespace yuccamoor {
namespace {

/// The weight of the newest service time in the smoothed one.
constexpr double kServiceTimeGain = 0.1;

}  // namespace

AdmissionQueue::AdmissionQueue(const AdmissionOptions& options)
    : m_options(options),
      m_service_ms(static_cast<double>(options.first_service_time.ms())) {}

std::size_t AdmissionQueue::queued() const {
  std::size_t total = 0;
  for (const auto& queue : m_queues) total += queue.size();
  return total;
}

DurationMs AdmissionQueue::service_time() const {
  return DurationMs(static_cast<std::int64_t>(m_service_ms));
}

DurationMs AdmissionQueue::ExpectedWait(std::size_t ahead) const {
  const double places = std::max<std::uint32_t>(m_options.max_running, 1);
  const double turns = static_cast<double>(ahead + 1) / places;
  return DurationMs(static_cast<std::int64_t>(turns * m_service_ms));
}

DurationMs AdmissionQueue::RetryAfter(double random) const {
  const auto base = static_cast<double>(m_options.retry_after.ms());
  return DurationMs(static_cast<std::int64_t>(base * (1 + random)));
}

AdmissionAnswer AdmissionQueue::Offer(const AdmissionRequest& request,
                                      double random, TimeMs now,
                                      std::optional<RequestId>* displaced) {
  const auto priority = static_cast<std::size_t>(request.priority);
  std::size_t ahead = 0;
  for (std::size_t i = 0; i <= priority; ++i) ahead += m_queues[i].size();
  const bool free = m_running < m_options.max_running;
  const DurationMs wait =
      free && ahead == 0 ? DurationMs(0) : ExpectedWait(ahead);
  // A request that would be cut off while it runs wastes the capacity that it
  // takes from others.
  if (now + wait + service_time() > request.deadline) {
    return {AdmissionVerdict::kRefused, RetryAfter(random)};
  }
  if (free && ahead == 0) {
    ++m_running;
    return {AdmissionVerdict::kRun, DurationMs(0)};
  }
  if (queued() >= m_options.max_queued) {
    *displaced = DisplaceBelow(priority);
    if (!*displaced) return {AdmissionVerdict::kRefused, RetryAfter(random)};
  }
  m_queues[priority].push_back(request);
  return {AdmissionVerdict::kQueued, RetryAfter(random)};
}

std::optional<RequestId> AdmissionQueue::DisplaceBelow(std::size_t priority) {
  for (std::size_t i = kClasses; i-- > priority + 1;) {
    if (m_queues[i].empty()) continue;
    RequestId id = m_queues[i].back().id;
    m_queues[i].pop_back();
    return id;
  }
  return std::nullopt;
}

void AdmissionQueue::Expire(TimeMs now, AdmissionChange& change) {
  const TimeMs end = now + service_time();
  for (auto& queue : m_queues) {
    std::erase_if(queue, [&](const AdmissionRequest& request) {
      if (end <= request.deadline) return false;
      change.refused.push_back(request.id);
      return true;
    });
  }
}

AdmissionChange AdmissionQueue::OnEnd(DurationMs service_time, double random,
                                      TimeMs now) {
  if (m_running > 0) --m_running;
  const auto sample = static_cast<double>(service_time.ms());
  m_service_ms += kServiceTimeGain * (sample - m_service_ms);
  return Tick(random, now);
}

AdmissionChange AdmissionQueue::Tick(double random, TimeMs now) {
  AdmissionChange change;
  change.retry_after = RetryAfter(random);
  Expire(now, change);
  for (auto& queue : m_queues) {
    while (!queue.empty() && m_running < m_options.max_running) {
      change.run.push_back(queue.front().id);
      queue.pop_front();
      ++m_running;
    }
  }
  return change;
}

bool AdmissionQueue::Cancel(const RequestId& id) {
  for (auto& queue : m_queues) {
    const auto erased = std::erase_if(
        queue,
        [&](const AdmissionRequest& request) { return request.id == id; });
    if (erased > 0) return true;
  }
  return false;
}

void AdmissionQueue::SetMaxRunning(std::uint32_t max_running) {
  m_options.max_running = max_running;
}

}  // namespace yuccamoor
