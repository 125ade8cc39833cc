/// \file
/// \brief Implementation of the gate before a gateway's requests.

#include "yuccamoor/transport/gateway/admission_gate.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <string>
#include <utility>

#include "yuccamoor/transport/async_event.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kCallerCheckInterval(500);

}  // namespace

AdmissionPass::AdmissionPass(AdmissionGate& gate, TimeMs start)
    : m_gate(&gate), m_start(start) {}

AdmissionPass::AdmissionPass(AdmissionPass&& other) noexcept
    : m_gate(std::exchange(other.m_gate, nullptr)), m_start(other.m_start) {}

AdmissionPass::~AdmissionPass() {
  if (m_gate != nullptr) m_gate->Leave(m_gate->m_clock.Now() - m_start);
}

AdmissionGate::AdmissionGate(const AdmissionOptions& options,
                             const Clock& clock, std::uint64_t random_seed)
    : m_clock(clock), m_queue(options), m_random(random_seed) {}

Awaitable<AdmissionResult> AdmissionGate::Enter(AdmissionWish wish) {
  auto waiter = std::make_shared<Waiter>();
  waiter->event = AsyncEvent::Create(co_await asio::this_coro::executor);
  RequestId id;
  {
    const std::lock_guard lock(m_mutex);
    // Callers may give one request id to several requests.
    id = RequestId(std::to_string(++m_arrivals));
    Offer(id, wish.priority, waiter);
  }
  co_await Wait(waiter, std::move(wish));
  AdmissionResult result;
  const std::lock_guard lock(m_mutex);
  m_waiters.erase(id);
  if (waiter->verdict == Verdict::kWaiting) m_queue.Cancel(id);
  if (waiter->verdict == Verdict::kRun) {
    result.pass.emplace(*this, m_clock.Now());
  }
  result.refused = waiter->verdict == Verdict::kRefused;
  result.retry_after = waiter->retry_after;
  co_return result;
}

void AdmissionGate::Offer(const RequestId& id, Priority priority,
                          const WaiterPtr& waiter) {
  AdmissionRequest request;
  request.id = id;
  request.priority = priority;
  // No deadline: answers differ in length so much that the mean time of others
  // does not tell whether this one would be late.
  std::optional<RequestId> displaced;
  const double random = Random();
  const AdmissionAnswer answer =
      m_queue.Offer(request, random, m_clock.Now(), &displaced);
  if (displaced) Decide(*displaced, Verdict::kRefused, answer.retry_after);
  waiter->retry_after = answer.retry_after;
  switch (answer.verdict) {
    case AdmissionVerdict::kRun:
      waiter->verdict = Verdict::kRun;
      break;
    case AdmissionVerdict::kRefused:
      waiter->verdict = Verdict::kRefused;
      break;
    case AdmissionVerdict::kQueued:
      m_waiters.emplace(id, waiter);
      break;
  }
}

Awaitable<void> AdmissionGate::Wait(WaiterPtr waiter, AdmissionWish wish) {
  for (;;) {
    {
      const std::lock_guard lock(m_mutex);
      if (waiter->verdict != Verdict::kWaiting) co_return;
    }
    const DurationMs left = wish.deadline - m_clock.Now();
    if (left <= DurationMs(0) || wish.caller_gone()) co_return;
    co_await waiter->event->WaitFor(std::min(left, kCallerCheckInterval));
  }
}

void AdmissionGate::Leave(DurationMs service_time) {
  const std::lock_guard lock(m_mutex);
  const AdmissionChange change =
      m_queue.OnEnd(service_time, Random(), m_clock.Now());
  for (const RequestId& id : change.run) {
    Decide(id, Verdict::kRun, DurationMs(0));
  }
  for (const RequestId& id : change.refused) {
    Decide(id, Verdict::kRefused, change.retry_after);
  }
}

void AdmissionGate::Decide(const RequestId& id, Verdict verdict,
                           DurationMs retry_after) {
  const auto it = m_waiters.find(id);
  if (it == m_waiters.end()) return;
  it->second->verdict = verdict;
  it->second->retry_after = retry_after;
  it->second->event->Notify();
}

std::uint32_t AdmissionGate::running() const {
  const std::lock_guard lock(m_mutex);
  return m_queue.running();
}

std::size_t AdmissionGate::queued() const {
  const std::lock_guard lock(m_mutex);
  return m_queue.queued();
}

}  // namespace yuccamoor
