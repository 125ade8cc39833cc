#include "yuccamoor/coordination/fleet/prompt_quarantine.h"

#include <algorithm>
#include <utility>

namespace yuccamoor::fleet {

namespace {

// Fewer may be chance: engines crash for other reasons, and connections break.
constexpr std::uint32_t kCrashesToQuarantine = 3;
// Crashes within this time count as one.
constexpr DurationMs kSameEvent{300};
// Each further quarantine of a part lasts twice as long.
constexpr DurationMs kFirstQuarantine{60'000};
constexpr DurationMs kLongestQuarantine{960'000};
// A part without crash for this long is sound or no longer requested.
constexpr DurationMs kMemory{1'800'000};
// Suspicions end sooner, as most of them concern sound parts.
constexpr DurationMs kSuspicionMemory{600'000};
// Reminders that were under way when the part was cleared arrive by then.
constexpr DurationMs kClearedMemory{10'000};
constexpr std::size_t kMaxParts = 8'192;
// As many as a datagram carries.
constexpr std::size_t kMaxRemindedParts = 512;
// Enough to tell engine processes apart until a part is quarantined.
constexpr std::size_t kMaxEngines = 16;

}  // namespace

void PromptQuarantine::OnBrokenOff(const EndpointProcess& engine,
                                   const std::vector<PromptPartId>& parts,
                                   TimeMs now) {
  std::vector<PromptPartId>& told = m_news.broken_off[engine];
  for (const PromptPartId& part : parts) {
    AddCrash(engine, part, now);
    const bool known = std::find(told.begin(), told.end(), part) != told.end();
    if (!known) told.push_back(part);
  }
}

void PromptQuarantine::OnOutput(const std::vector<PromptPartId>& parts,
                                TimeMs now) {
  if (m_parts.empty()) return;
  for (const PromptPartId& part : parts) {
    if (Clear(part, now)) m_news.cleared.push_back(part);
  }
}

void PromptQuarantine::OnNews(const PromptPartNews& news, TimeMs now) {
  for (const auto& [engine, parts] : news.broken_off) {
    for (const PromptPartId& part : parts) AddCrash(engine, part, now);
  }
  for (const PromptPartId& part : news.cleared) Clear(part, now);
  for (const QuarantinedPart& part : news.quarantined) Adopt(part, now);
}

void PromptQuarantine::AddCrash(const EndpointProcess& engine,
                                const PromptPartId& id, TimeMs now) {
  Part& part = Touch(id, now);
  const bool known = std::find(part.engines.begin(), part.engines.end(),
                               engine) != part.engines.end();
  if (known) return;
  const bool same_event =
      !part.engines.empty() && now - part.last_crash < kSameEvent;
  if (part.engines.size() < kMaxEngines) part.engines.push_back(engine);
  if (same_event) return;
  ++part.crashes;
  part.last_crash = now;
  // After an earlier quarantine, the first crash confirms it.
  const bool confirmed = part.quarantines > 0;
  if (confirmed || part.crashes >= kCrashesToQuarantine) {
    Quarantine(id, part, now);
  }
}

void PromptQuarantine::Quarantine(const PromptPartId& id, Part& part,
                                  TimeMs now) {
  if (part.quarantined_until && now < *part.quarantined_until) return;
  DurationMs time = kFirstQuarantine;
  for (std::uint32_t i = 0; i < part.quarantines; ++i) {
    time = std::min(time * 2, kLongestQuarantine);
  }
  ++part.quarantines;
  part.quarantined_until = now + time;
  m_news.quarantined.push_back({id, time});
}

void PromptQuarantine::Adopt(const QuarantinedPart& quarantined, TimeMs now) {
  Part& part = Touch(quarantined.part, now);
  const bool cleared = part.crashes == 0 && part.cleared_at &&
                       now - *part.cleared_at < kClearedMemory;
  if (cleared) {
    // The sender has missed that.
    m_news.cleared.push_back(quarantined.part);
    return;
  }
  const TimeMs until =
      now + std::min(quarantined.remaining, kLongestQuarantine);
  if (part.quarantined_until && until <= *part.quarantined_until) return;
  const bool is_new = !part.quarantined_until || *part.quarantined_until <= now;
  if (is_new) ++part.quarantines;
  part.quarantined_until = until;
}

bool PromptQuarantine::Clear(const PromptPartId& id, TimeMs now) {
  const auto it = m_parts.find(id);
  if (it == m_parts.end()) return false;
  Part& part = it->second;
  const bool suspected = part.crashes > 0 || part.quarantined_until;
  if (!suspected) return false;
  part = Part();
  part.touched = now;
  part.cleared_at = now;
  return true;
}

std::optional<QuarantinedPart> PromptQuarantine::Find(
    const std::vector<PromptPartId>& parts, TimeMs now) const {
  if (m_parts.empty()) return std::nullopt;
  std::optional<QuarantinedPart> longest;
  for (const PromptPartId& id : parts) {
    const auto it = m_parts.find(id);
    if (it == m_parts.end() || !it->second.quarantined_until) continue;
    const DurationMs remaining = *it->second.quarantined_until - now;
    if (remaining <= DurationMs(0)) continue;
    if (!longest || remaining > longest->remaining) longest = {id, remaining};
  }
  return longest;
}

PromptPartNews PromptQuarantine::TakeNews() {
  PromptPartNews news = std::move(m_news);
  m_news = {};
  return news;
}

PromptPartNews PromptQuarantine::Reminder(TimeMs now) const {
  PromptPartNews news;
  for (const auto& [id, part] : m_parts) {
    if (!part.quarantined_until || *part.quarantined_until <= now) continue;
    news.quarantined.push_back({id, *part.quarantined_until - now});
    if (news.quarantined.size() == kMaxRemindedParts) break;
  }
  return news;
}

void PromptQuarantine::Expire(TimeMs now) {
  std::erase_if(m_parts, [now](const auto& item) {
    const Part& part = item.second;
    const DurationMs memory = part.quarantines > 0 ? kMemory : kSuspicionMemory;
    const TimeMs from =
        std::max(part.touched, part.quarantined_until.value_or(part.touched));
    return now - from >= memory;
  });
}

PromptQuarantine::Part& PromptQuarantine::Touch(const PromptPartId& id,
                                                TimeMs now) {
  const bool is_new = !m_parts.contains(id);
  if (is_new && m_parts.size() >= kMaxParts) DropOldest();
  Part& part = m_parts[id];
  part.touched = now;
  return part;
}

// Quarantined parts go last.
void PromptQuarantine::DropOldest() {
  const auto oldest = std::min_element(
      m_parts.begin(), m_parts.end(), [](const auto& a, const auto& b) {
        const bool a_stays = a.second.quarantines > 0;
        const bool b_stays = b.second.quarantines > 0;
        if (a_stays != b_stays) return b_stays;
        return a.second.touched < b.second.touched;
      });
  if (oldest != m_parts.end()) m_parts.erase(oldest);
}

}  // namespace yuccamoor::fleet
