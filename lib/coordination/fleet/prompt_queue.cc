#include "yuccamoor/coordination/fleet/prompt_queue.h"

#include <algorithm>

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

}  // namespace

void PromptQueue::Expire(TimeMs now) {
  std::erase_if(m_reserved,
                [now](const auto& item) { return now >= item.second.expires; });
  std::erase_if(m_queue, [now](const QueuedPrompt& queued) {
    return now - queued.refreshed_at > kQueuedLifetime;
  });
}

PrefillLoad PromptQueue::WithReservations(PrefillLoad load) const {
  for (const auto& [id, reservation] : m_reserved) {
    ++load.requests;
    load.backlog =
        load.backlog + ReservedPrefill(reservation.tokens, load.pace);
  }
  return load;
}

bool PromptQueue::GoesBefore(const PendingPrompt& first,
                             const PendingPrompt& second, TimeMs now) {
  const bool first_late = now > first.send_by;
  const bool second_late = now > second.send_by;
  if (first_late != second_late) return second_late;
  if (first.priority != second.priority) {
    return first.priority < second.priority;
  }
  return first.send_by < second.send_by;
}

DurationMs PromptQueue::WaitBehind(const PendingPrompt& prompt,
                                   const PrefillLoad& load, TimeMs now) const {
  DurationMs ahead{0};
  for (const QueuedPrompt& queued : m_queue) {
    if (queued.prompt.id == prompt.id) continue;
    if (GoesBefore(queued.prompt, prompt, now)) {
      ahead = ahead + ReservedPrefill(queued.prompt.tokens, load.pace);
    }
  }
  return ahead + PromptWait(WithReservations(load), OfferOf(prompt, now));
}

void PromptQueue::Reserve(const PendingPrompt& prompt, TimeMs now) {
  m_reserved[prompt.id] = {prompt.tokens, now + kReservationTime};
}

DurationMs PromptQueue::Quote(const PendingPrompt& prompt,
                              const PrefillLoad& load, TimeMs now) {
  Expire(now);
  m_reserved.erase(prompt.id);
  const DurationMs wait = WaitBehind(prompt, load, now);
  if (wait == DurationMs(0)) Reserve(prompt, now);
  return wait;
}

DurationMs PromptQueue::Enqueue(const PendingPrompt& prompt,
                                const PrefillLoad& load, TimeMs now) {
  Expire(now);
  const auto it = std::find_if(m_queue.begin(), m_queue.end(),
                               [&prompt](const QueuedPrompt& queued) {
                                 return queued.prompt.id == prompt.id;
                               });
  if (it == m_queue.end()) {
    m_queue.push_back({prompt, now, now});
  } else {
    it->refreshed_at = now;
  }
  // Its admission comes from Admit, which looks at all of them.
  return std::max(WaitBehind(prompt, load, now), DurationMs(1));
}

void PromptQueue::OnSent(const AdmissionId& id) {
  const auto it = m_reserved.find(id);
  // The request itself is reported a moment after its prompt.
  if (it != m_reserved.end()) it->second.tokens = 0;
  std::erase_if(m_queue, [&id](const QueuedPrompt& queued) {
    return queued.prompt.id == id;
  });
}

std::vector<AdmissionId> PromptQueue::Admit(const PrefillLoad& load,
                                            TimeMs now) {
  Expire(now);
  std::vector<AdmissionId> admitted;
  std::stable_sort(m_queue.begin(), m_queue.end(),
                   [now](const QueuedPrompt& a, const QueuedPrompt& b) {
                     return GoesBefore(a.prompt, b.prompt, now);
                   });
  for (auto it = m_queue.begin(); it != m_queue.end();) {
    const PendingPrompt prompt = it->prompt;
    const PrefillLoad reserved = WithReservations(load);
    const PromptOffer offer = OfferOf(prompt, now);
    if (!AllowsPrompt(reserved, offer)) {
      if (!WaitsForMoment(reserved, offer)) break;
      ++it;
      continue;
    }
    Reserve(prompt, now);
    admitted.push_back(prompt.id);
    it = m_queue.erase(it);
  }
  return admitted;
}

}  // namespace yuccamoor::fleet
