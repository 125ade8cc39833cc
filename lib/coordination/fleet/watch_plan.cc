#include "yuccamoor/coordination/fleet/watch_plan.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "yuccamoor/coordination/fleet/fleet_size.h"
#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

// Two, so that the loss of one goes unnoticed.
constexpr std::size_t kReadersPerDomain = 2;
constexpr DurationMs kRetryPause{250};
// A watch waits for changes for a part of the maximum propagation delay, and
// is overdue if the answer takes another part longer. Further reads follow each
// other at intervals of that part.
constexpr std::int64_t kWatchPart = 2;
constexpr std::int64_t kOverduePart = 4;
// Bounds the connections to a store that does not answer. Also the time that an
// answer may take, in intervals between reads.
constexpr std::size_t kMaxReadsUnderWay = 8;
// Pauses let several changes come together. They are parts of the maximum
// propagation delay.
constexpr std::int64_t kSmallFleetPausePart = 3;
constexpr std::int64_t kReaderPausePart = 4;
// Changes often come in groups: a release, a start of many nodes.
constexpr DurationMs kPauseAfterChange{250};
// The nodes of a small starting fleet find each other quickly.
constexpr DurationMs kStartPause{150};
constexpr DurationMs kStartTime{4'000};
// A follower waits this part of the maximum propagation delay longer than a
// reader's pause, and one more step for each node before it, so that the first
// one that reads can pass the changes on to the others.
constexpr std::int64_t kFollowerMarginPart = 8;
constexpr std::int64_t kFollowerStepPart = 80;
constexpr std::size_t kMaxFollowerSteps = 8;
// Spreads the reads of followers that all missed the same changes.
constexpr std::uint64_t kRequestSpreadMs = 300;

std::uint64_t Score(const NodeId& node) { return StableBucketHash(node.str()); }

}  // namespace

WatchPlan::WatchPlan(NodeId self, FailureDomainId domain,
                     DurationMs max_propagation_delay, TimeMs started)
    : m_self(std::move(self)),
      m_domain(std::move(domain)),
      m_max_propagation_delay(max_propagation_delay),
      m_started(started),
      m_last_read(started) {}

void WatchPlan::SetNodes(const std::map<NodeId, NodeRecord>& nodes) {
  m_nodes = nodes.size();
  const std::uint64_t own_score = Score(m_self);
  const bool registered = nodes.contains(m_self);
  m_rank = 0;
  for (const auto& [node, record] : nodes) {
    if (record.domain != m_domain || node == m_self) continue;
    // A node that the others do not know yet cannot be their reader.
    if (!registered || Score(node) < own_score) ++m_rank;
  }
}

bool IsAnswer(ReadOutcome outcome) {
  return outcome == ReadOutcome::kUnchanged || outcome == ReadOutcome::kChanged;
}

void WatchPlan::OnReadBegun(TimeMs now) {
  if (m_under_way > 0) m_is_silent = true;
  ++m_under_way;
  m_last_begun = now;
  m_requested.reset();
}

void WatchPlan::OnRead(ReadOutcome outcome, TimeMs now) {
  const bool was_away = m_is_silent || HasFailed();
  m_last_read = now;
  m_last_outcome = outcome;
  if (!IsAnswer(outcome)) {
    if (m_under_way > 0) --m_under_way;
    m_is_silent = m_is_silent || outcome == ReadOutcome::kUnanswered;
    m_catches_up = false;
    return;
  }
  m_under_way = 0;
  m_requested.reset();
  m_is_silent = false;
  m_catches_up = outcome == ReadOutcome::kChanged && (was_away || m_catches_up);
}

void WatchPlan::OnReceived(TimeMs now) { m_last_received = now; }

void WatchPlan::RequestRead(TimeMs now) {
  if (!m_requested) m_requested = now + RequestSpread();
}

DurationMs WatchPlan::RequestSpread() const {
  return DurationMs(
      static_cast<std::int64_t>(Score(m_self) % kRequestSpreadMs));
}

void WatchPlan::OnStoreRestored(TimeMs now) {
  m_under_way = 0;
  m_catches_up = false;
  m_requested = IsLarge() ? now + RequestSpread() : now;
}

bool WatchPlan::IsLarge() const { return m_nodes > kMaxSmallFleetNodes; }

bool WatchPlan::IsReader() const { return m_rank < kReadersPerDomain; }

ReadOptions WatchPlan::NextReadOptions() const {
  const bool is_overdue = m_is_silent || m_under_way > 0;
  ReadOptions options;
  // What the node asks for after a silence is there already.
  if (!is_overdue && !m_catches_up) {
    options.wait = m_max_propagation_delay / kWatchPart;
  }
  options.timeout = options.wait + OverdueInterval() * kMaxReadsUnderWay;
  options.new_connection = is_overdue;
  return options;
}

DurationMs WatchPlan::OverdueInterval() const {
  return m_max_propagation_delay / kOverduePart;
}

DurationMs WatchPlan::Patience() const {
  if (m_is_silent || m_catches_up) return OverdueInterval();
  return m_max_propagation_delay / kWatchPart + OverdueInterval();
}

bool WatchPlan::HasFailed() const {
  return m_last_outcome == ReadOutcome::kFailed ||
         m_last_outcome == ReadOutcome::kUnanswered;
}

DurationMs WatchPlan::SmallFleetPause() const {
  if (HasFailed()) return kRetryPause;
  if (m_last_read - m_started < kStartTime) return kStartPause;
  return m_max_propagation_delay / kSmallFleetPausePart;
}

DurationMs WatchPlan::ReaderPause() const {
  if (HasFailed()) return kRetryPause;
  const DurationMs pause = m_max_propagation_delay / kReaderPausePart;
  return m_last_outcome == ReadOutcome::kChanged
             ? std::min(pause, kPauseAfterChange)
             : pause;
}

DurationMs WatchPlan::FollowerTimeout() const {
  const std::size_t before = m_rank - kReadersPerDomain;
  const auto steps =
      static_cast<std::int64_t>(std::min(before, kMaxFollowerSteps));
  return m_max_propagation_delay / kReaderPausePart +
         m_max_propagation_delay / kFollowerMarginPart +
         m_max_propagation_delay / kFollowerStepPart * steps;
}

TimeMs WatchPlan::NextRead() const {
  return m_under_way > 0 ? NextReadBeside() : NextReadAfterLast();
}

TimeMs WatchPlan::NextReadBeside() const {
  if (m_under_way >= kMaxReadsUnderWay) return TimeMs::Never();
  TimeMs next = m_last_begun + Patience();
  if (IsFollower() && m_last_received) {
    next = std::max(next, *m_last_received + FollowerTimeout());
  }
  if (m_requested) next = std::min(next, *m_requested);
  if (!m_last_progress) return next;
  return std::max(next, *m_last_progress + OverdueInterval());
}

TimeMs WatchPlan::NextReadAfterLast() const {
  if (m_catches_up) return m_last_read;
  TimeMs next = m_last_read;
  if (!IsLarge()) {
    next = next + SmallFleetPause();
  } else if (IsReader()) {
    next = next + ReaderPause();
  } else {
    next =
        std::max(next, m_last_received.value_or(TimeMs())) + FollowerTimeout();
  }
  return m_requested ? std::min(next, *m_requested) : next;
}

bool WatchPlan::PassesOn(TimeMs now) const {
  if (!IsLarge()) return false;
  if (IsReader()) return true;
  return !m_last_received || now - *m_last_received >= FollowerTimeout();
}

}  // namespace yuccamoor::fleet
