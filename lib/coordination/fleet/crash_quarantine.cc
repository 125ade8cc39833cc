#include "yuccamoor/coordination/fleet/crash_quarantine.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace yuccamoor::fleet {

namespace {

// Fewer may be chance: engines crash for other reasons, and connections break.
constexpr std::size_t kCrashesToQuarantine = 3;
// Crashes under a part of prompts within this time count as one.
constexpr DurationMs kSameEvent{300};
// An endpoint that crashes is back by then.
constexpr DurationMs kRecentCrash{10'000};
// Each further quarantine of a suspect lasts twice as long.
constexpr DurationMs kFirstQuarantine{60'000};
constexpr DurationMs kLongestQuarantine{960'000};
// A suspect without crash for this long is sound or no longer requested.
constexpr DurationMs kMemory{1'800'000};
// Suspicions end sooner, as most of them concern sound requests.
constexpr DurationMs kSuspicionMemory{600'000};
// Reminders that were under way when the suspect was cleared arrive by then.
constexpr DurationMs kClearedMemory{10'000};
// Reminders of the same quarantine end within this time of each other, as they
// were under way for different times.
constexpr DurationMs kSameQuarantine{10'000};
constexpr std::size_t kMaxSuspects = 8'192;
// As many as a datagram carries.
constexpr std::size_t kMaxReminded = 256;

// Returns the digest of the request among the suspects; empty if none is.
std::string_view RequestOf(const std::vector<CrashSuspect>& suspects) {
  for (const CrashSuspect& suspect : suspects) {
    if (suspect.kind == SuspectKind::kRequest) return suspect.id;
  }
  return {};
}

}  // namespace

void CrashQuarantine::OnBrokenOff(const EndpointProcess& endpoint,
                                  const std::vector<CrashSuspect>& suspects,
                                  DurationMs ran, TimeMs now) {
  m_broken_off[endpoint] = now;
  std::vector<BrokenRun>& told = m_news.broken_off[endpoint];
  for (const CrashSuspect& suspect : suspects) {
    const BrokenRun run{suspect, ran, std::string(RequestOf(suspects))};
    AddCrash(endpoint, run, now);
    const bool known =
        std::any_of(told.begin(), told.end(), [&](const BrokenRun& item) {
          return item.suspect == suspect && item.request == run.request;
        });
    if (!known) told.push_back(run);
  }
}

void CrashQuarantine::OnOutput(const EndpointProcess& endpoint,
                               const std::vector<CrashSuspect>& suspects,
                               TimeMs now) {
  m_broken_off.erase(endpoint);
  if (m_records.empty()) return;
  for (const CrashSuspect& suspect : suspects) {
    if (Clear(suspect, now)) m_news.cleared.push_back(suspect);
  }
}

void CrashQuarantine::OnNews(const CrashNews& news, TimeMs now) {
  for (const auto& [endpoint, runs] : news.broken_off) {
    m_broken_off[endpoint] = now;
    for (const BrokenRun& run : runs) AddCrash(endpoint, run, now);
  }
  for (const CrashSuspect& suspect : news.cleared) Clear(suspect, now);
  for (const QuarantinedSuspect& item : news.quarantined) Adopt(item, now);
}

bool CrashQuarantine::IsSameEvent(const Record& record, const BrokenRun& run,
                                  TimeMs now) {
  if (run.suspect.kind == SuspectKind::kPromptPart) {
    return now - record.last_crash < kSameEvent;
  }
  return now - run.ran < record.last_crash;
}

bool CrashQuarantine::IsExplained(const BrokenRun& run) const {
  if (run.suspect.kind != SuspectKind::kPromptPart) return false;
  const auto request = m_records.find({SuspectKind::kRequest, run.request});
  return request != m_records.end() && request->second.quarantines > 0;
}

void CrashQuarantine::AddCrash(const EndpointProcess& endpoint,
                               const BrokenRun& run, TimeMs now) {
  Record& record = Touch(run.suspect, now);
  const bool is_known = record.series.Contains(endpoint);
  const bool is_same_event =
      !record.series.empty() && IsSameEvent(record, run, now);
  record.series.Add(endpoint, run.request, is_same_event);
  if (is_known) return;
  record.last_broken_off = now;
  if (is_same_event) return;
  record.last_crash = now;
  // After an earlier quarantine, the first crash confirms it.
  const bool is_confirmed = record.quarantines > 0 && !IsExplained(run);
  if (is_confirmed || Evidence(run.suspect, record) >= kCrashesToQuarantine) {
    Quarantine(run.suspect, record, now);
  }
}

std::size_t CrashQuarantine::Evidence(const CrashSuspect& suspect,
                                      const Record& record) {
  return suspect.kind == SuspectKind::kPromptPart
             ? record.series.RequestsToExplain()
             : record.series.crashes();
}

void CrashQuarantine::Quarantine(const CrashSuspect& suspect, Record& record,
                                 TimeMs now) {
  if (record.quarantined_until && now < *record.quarantined_until) return;
  DurationMs time = kFirstQuarantine;
  for (std::uint32_t i = 0; i < record.quarantines; ++i) {
    time = std::min(time * 2, kLongestQuarantine);
  }
  ++record.quarantines;
  record.quarantined_until = now + time;
  m_news.quarantined.push_back({suspect, time});
}

void CrashQuarantine::Adopt(const QuarantinedSuspect& quarantined, TimeMs now) {
  Record& record = Touch(quarantined.suspect, now);
  const bool cleared = record.series.empty() && record.cleared_at &&
                       now - *record.cleared_at < kClearedMemory;
  if (cleared) {
    // The sender has missed that.
    m_news.cleared.push_back(quarantined.suspect);
    return;
  }
  const TimeMs until =
      now + std::min(quarantined.remaining, kLongestQuarantine);
  if (record.quarantined_until &&
      until <= *record.quarantined_until + kSameQuarantine) {
    return;
  }
  ++record.quarantines;
  record.quarantined_until = until;
}

bool CrashQuarantine::Clear(const CrashSuspect& suspect, TimeMs now) {
  const auto it = m_records.find(suspect);
  if (it == m_records.end()) return false;
  Record& record = it->second;
  const bool suspected = !record.series.empty() || record.quarantined_until;
  if (!suspected) return false;
  record = Record();
  record.touched = now;
  record.cleared_at = now;
  return true;
}

std::size_t CrashQuarantine::RecentlyBrokenOff(const CrashSuspect& suspect,
                                               TimeMs now) const {
  const auto it = m_records.find(suspect);
  if (it == m_records.end()) return 0;
  const Record& record = it->second;
  const bool recent = now - record.last_broken_off < kRecentCrash;
  return recent ? record.series.endpoints() : 0;
}

bool CrashQuarantine::IsDoubtfulRepeat(
    const std::vector<CrashSuspect>& suspects, TimeMs now) const {
  const bool is_repeat = std::any_of(
      suspects.begin(), suspects.end(), [&](const CrashSuspect& suspect) {
        return suspect.kind == SuspectKind::kRequest &&
               RecentlyBrokenOff(suspect, now) > 0;
      });
  if (!is_repeat) return false;
  return std::any_of(
      suspects.begin(), suspects.end(), [&](const CrashSuspect& suspect) {
        return suspect.kind == SuspectKind::kPromptPart &&
               RecentlyBrokenOff(suspect, now) > 0 &&
               m_records.at(suspect).series.RequestsToExplain() > 1;
      });
}

bool CrashQuarantine::MayHaveEnded(const EndpointProcess& endpoint,
                                   TimeMs now) const {
  const auto it = m_broken_off.find(endpoint);
  return it != m_broken_off.end() && now - it->second < kRecentCrash;
}

std::optional<QuarantinedSuspect> CrashQuarantine::Find(
    const std::vector<CrashSuspect>& suspects, TimeMs now) const {
  if (m_records.empty()) return std::nullopt;
  std::optional<QuarantinedSuspect> longest;
  for (const CrashSuspect& suspect : suspects) {
    const auto it = m_records.find(suspect);
    if (it == m_records.end() || !it->second.quarantined_until) continue;
    const DurationMs remaining = *it->second.quarantined_until - now;
    if (remaining <= DurationMs(0)) continue;
    if (!longest || remaining > longest->remaining)
      longest = {suspect, remaining};
  }
  return longest;
}

CrashNews CrashQuarantine::TakeNews() {
  CrashNews news = std::move(m_news);
  m_news = {};
  return news;
}

CrashNews CrashQuarantine::Reminder(TimeMs now) const {
  CrashNews news;
  for (const auto& [suspect, record] : m_records) {
    if (!record.quarantined_until || *record.quarantined_until <= now) continue;
    news.quarantined.push_back({suspect, *record.quarantined_until - now});
    if (news.quarantined.size() == kMaxReminded) break;
  }
  return news;
}

void CrashQuarantine::Expire(TimeMs now) {
  std::erase_if(m_broken_off, [now](const auto& item) {
    return now - item.second >= kRecentCrash;
  });
  std::erase_if(m_records, [now](const auto& item) {
    const Record& record = item.second;
    const DurationMs memory =
        record.quarantines > 0 ? kMemory : kSuspicionMemory;
    const TimeMs from = std::max(
        record.touched, record.quarantined_until.value_or(record.touched));
    return now - from >= memory;
  });
}

CrashQuarantine::Record& CrashQuarantine::Touch(const CrashSuspect& suspect,
                                                TimeMs now) {
  const bool is_new = !m_records.contains(suspect);
  if (is_new && m_records.size() >= kMaxSuspects) DropOldest();
  Record& record = m_records[suspect];
  record.touched = now;
  return record;
}

// Quarantined suspects go last.
void CrashQuarantine::DropOldest() {
  const auto oldest = std::min_element(
      m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
        const bool a_stays = a.second.quarantines > 0;
        const bool b_stays = b.second.quarantines > 0;
        if (a_stays != b_stays) return b_stays;
        return a.second.touched < b.second.touched;
      });
  if (oldest != m_records.end()) m_records.erase(oldest);
}

}  // namespace yuccamoor::fleet
