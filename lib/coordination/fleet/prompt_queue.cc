#include "yuccamoor/coordination/fleet/prompt_queue.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace yuccamoor::fleet {

namespace {

// Until an admitted prompt has been sent and its node has reported it.
constexpr DurationMs kReservationTime{80};
// Nodes refresh their queued prompts several times within this.
constexpr DurationMs kQueuedLifetime{700};
// A prompt with less time left than this is near its deadline.
constexpr DurationMs kNearDeadline{130};

PromptOffer OfferOf(const PendingPrompt& prompt, TimeMs now) {
  PromptOffer offer;
  offer.tokens = prompt.tokens;
  const DurationMs left = prompt.send_by - now;
  if (left >= DurationMs(0) && left <= kNearDeadline) {
    offer.urgency = PromptUrgency::kNearDeadline;
  }
  return offer;
}

// Returns for how long others stay behind a prompt that is expected to wait: it
// lets them pass once it is late.
DurationMs TimeAhead(const PendingPrompt& prompt, DurationMs expected,
                     TimeMs now) {
  if (now > prompt.send_by) return expected;
  return std::min(expected, prompt.send_by - now);
}

}  // namespace

void PromptQueue::Expire(TimeMs now) {
  std::erase_if(m_reserved, [this, now](const auto& item) {
    const Reservation& reservation = item.second;
    if (now < reservation.expires) return false;
    if (!reservation.sent) m_order.OnReturned(reservation.prompt);
    return true;
  });
  std::erase_if(m_queue, [now](const QueuedPrompt& queued) {
    return now - queued.refreshed_at > kQueuedLifetime;
  });
  m_order.Rebase(Waiting(), now);
}

FairOrder::Prompts PromptQueue::Waiting() const {
  FairOrder::Prompts prompts;
  prompts.reserve(m_queue.size());
  for (const QueuedPrompt& queued : m_queue) prompts.push_back(&queued.prompt);
  return prompts;
}

PrefillLoad PromptQueue::WithReservations(PrefillLoad load) const {
  for (const auto& [id, reservation] : m_reserved) {
    ++load.requests;
    // The request itself is reported a moment after its prompt.
    if (reservation.sent) continue;
    load.backlog = load.backlog + ReservedPrefill(reservation.prompt.tokens);
  }
  return load;
}

DurationMs PromptQueue::WaitBehind(const QueuedPrompt& asked,
                                   const PrefillLoad& load, TimeMs now) const {
  const PrefillLoad reserved = WithReservations(load);
  std::vector<const QueuedPrompt*> waiting{&asked};
  FairOrder::Prompts prompts{&asked.prompt};
  for (const QueuedPrompt& queued : m_queue) {
    if (queued.prompt.id == asked.prompt.id) continue;
    waiting.push_back(&queued);
    prompts.push_back(&queued.prompt);
  }
  DurationMs ahead{0};
  // A prompt does not start before one ahead of it.
  DurationMs slowest{0};
  for (const std::size_t position : m_order.Sort(prompts, now)) {
    const QueuedPrompt& next = *waiting[position];
    const DurationMs wait =
        ahead + PromptWait(reserved, OfferOf(next.prompt, now));
    const DurationMs expected =
        next.progress.ExpectedWait(wait, now - next.queued_at);
    if (&next == &asked) return std::max(expected, slowest);
    if (expected > wait) {
      slowest = std::max(slowest, TimeAhead(next.prompt, expected, now));
    }
    ahead = ahead + ReservedPrefill(next.prompt.tokens);
  }
  return ahead;
}

void PromptQueue::Reserve(const QueuedPrompt& queued, TimeMs now) {
  m_reserved[queued.prompt.id] = {queued.prompt, queued.queued_at,
                                  now + kReservationTime, false};
  m_order.OnAdmitted(queued.prompt);
}

void PromptQueue::CancelReservation(const AdmissionId& id) {
  const auto it = m_reserved.find(id);
  if (it == m_reserved.end()) return;
  if (!it->second.sent) m_order.OnReturned(it->second.prompt);
  m_reserved.erase(it);
}

std::vector<PromptQueue::QueuedPrompt>::iterator PromptQueue::Find(
    const AdmissionId& id) {
  return std::find_if(
      m_queue.begin(), m_queue.end(),
      [&id](const QueuedPrompt& queued) { return queued.prompt.id == id; });
}

DurationMs PromptQueue::Quote(const PendingPrompt& prompt,
                              const PrefillLoad& load, TimeMs now) {
  Expire(now);
  CancelReservation(prompt.id);
  const QueuedPrompt asked{prompt, now, now, {}};
  const DurationMs wait = WaitBehind(asked, load, now);
  if (wait == DurationMs(0)) Reserve(asked, now);
  return wait;
}

DurationMs PromptQueue::Enqueue(const PendingPrompt& prompt,
                                const PrefillLoad& load, TimeMs now) {
  Expire(now);
  auto it = Find(prompt.id);
  if (it == m_queue.end()) {
    m_queue.push_back({prompt, now, now, {}});
    it = std::prev(m_queue.end());
  }
  it->refreshed_at = now;
  // Its admission comes from Admit, which looks at all of them.
  return std::max(WaitBehind(*it, load, now), DurationMs(1));
}

void PromptQueue::OnSent(const AdmissionId& id) {
  const auto queued = Find(id);
  if (queued != m_queue.end()) m_queue.erase(queued);
  const auto it = m_reserved.find(id);
  if (it == m_reserved.end() || it->second.sent) return;
  Reservation& reservation = it->second;
  reservation.sent = true;
  const DurationMs work = ReservedPrefill(reservation.prompt.tokens);
  for (QueuedPrompt& waiting : m_queue) {
    waiting.progress.OnSent(work, reservation.arrived_at > waiting.queued_at);
  }
}

std::vector<AdmissionId> PromptQueue::Admit(const PrefillLoad& load,
                                            TimeMs now) {
  Expire(now);
  std::vector<AdmissionId> admitted;
  for (const std::size_t position : m_order.Sort(Waiting(), now)) {
    const QueuedPrompt& next = m_queue[position];
    const PromptOffer offer = OfferOf(next.prompt, now);
    if (!AllowsPrompt(WithReservations(load), offer)) break;
    Reserve(next, now);
    admitted.push_back(next.prompt.id);
  }
  std::erase_if(m_queue, [&admitted](const QueuedPrompt& queued) {
    return std::find(admitted.begin(), admitted.end(), queued.prompt.id) !=
           admitted.end();
  });
  return admitted;
}

}  // namespace yuccamoor::fleet
