#include "yuccamoor/coordination/fleet/revision_history.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace yuccamoor::fleet {

namespace {

constexpr std::int64_t kLearningPart = 2;
// The part of the time left after learning in which requests are still sent.
// Engines have the rest to begin.
constexpr std::int64_t kSendPart = 2;
// Late wake-ups, and the way of a connection's end to the engine.
constexpr DurationMs kTakeBackTime{250};

// More versions than are published one after the other within a few seconds.
constexpr std::size_t kMaxVersions = 16;

}  // namespace

DurationMs MaxLearningTime(DurationMs max_propagation_delay) {
  return max_propagation_delay / kLearningPart;
}

RevisionTimes RevisionTimes::For(DurationMs max_age,
                                 DurationMs max_propagation_delay) {
  const DurationMs left =
      std::max(DurationMs(0), max_age - MaxLearningTime(max_propagation_delay));
  RevisionTimes times;
  times.send = left / kSendPart;
  times.begin = std::max(times.send, left - kTakeBackTime);
  return times;
}

bool RevisionHistory::Learn(AdapterRevision revision, TimeMs learned_at) {
  if (revision <= newest()) return false;
  // An older version that became known no earlier makes no difference any more.
  while (!m_known.empty() && m_known.back().learned_at >= learned_at) {
    m_known.pop_back();
  }
  m_known.push_back({revision, learned_at});
  if (m_known.size() > kMaxVersions) {
    // The second one takes the time of the first, so that what is forgotten
    // makes versions end sooner, never later.
    m_known[1].learned_at = m_known[0].learned_at;
    m_known.erase(m_known.begin());
  }
  return true;
}

AdapterRevision RevisionHistory::newest() const {
  return m_known.empty() ? AdapterRevision() : m_known.back().revision;
}

DurationMs RevisionHistory::NewestAge(TimeMs now) const {
  if (m_known.empty()) return DurationMs(0);
  return now - m_known.back().learned_at;
}

AdapterRevision RevisionHistory::LeastAt(TimeMs now, DurationMs ago) const {
  AdapterRevision least;
  for (const Known& known : m_known) {
    if (now - known.learned_at < ago) break;
    least = known.revision;
  }
  return least;
}

}  // namespace yuccamoor::fleet
