/// \file
/// \brief Which candidates may take over a cell, and in what order.

#include <algorithm>
#include <functional>
#include <utility>

#include "yuccamoor/coordination/leadership/election.h"

namespace yuccamoor {
namespace {

std::size_t SpreadKey(const CellId& cell, const NodeId& node) {
  return std::hash<std::string>()(cell.str() + '/' + node.str());
}

}  // namespace

bool Election::Owns(const LeadershipRecord& record) const {
  return record.leader.id == m_options.self.id &&
         record.incarnation == m_options.incarnation;
}

bool Election::IsLive(const NodeId& id) const {
  return !m_have_live || Contains(m_candidates.live, id);
}

bool Election::MayTakeOver(TimeMs now) const {
  if (m_resigned || !m_observed) return false;
  const DurationMs turn = m_options.stagger * static_cast<std::int64_t>(Rank());
  if (!m_record) {
    // A record that cannot be read may be held by a leader of another release.
    const bool absent = m_version == KvVersion();
    const DurationMs wait =
        absent ? turn : m_options.ttl + m_options.margin + turn;
    return now >= m_first_seen + wait;
  }
  if (m_record->released) return now >= m_first_seen + turn;
  if (now < m_hold_until) return false;
  if (now < m_first_seen + m_record->ttl + m_options.margin + turn) {
    return false;
  }
  const NodeId& self = m_options.self.id;
  if (m_record->leader.id == self || Contains(m_record->successors, self)) {
    return true;
  }
  // An older list may miss a leader that has come since.
  return m_candidates.members_read >= m_first_seen && IsEligible();
}

bool Election::IsEligible() const {
  if (!m_record) return true;
  const NodeId& self = m_options.self.id;
  if (m_record->leader.id == self || Contains(m_record->successors, self)) {
    return true;
  }
  // Nobody that may hold a promise or take over by right is left.
  if (!m_have_live || IsLive(m_record->leader.id)) return false;
  return std::none_of(m_record->successors.begin(), m_record->successors.end(),
                      [&](const Candidate& c) { return IsLive(c.id); });
}

std::size_t Election::Rank() const {
  if (m_record) {
    const auto& successors = m_record->successors;
    const auto it = std::find_if(
        successors.begin(), successors.end(),
        [&](const Candidate& c) { return c.id == m_options.self.id; });
    return static_cast<std::size_t>(it - successors.begin());
  }
  const std::size_t own = SpreadKey(m_options.cell, m_options.self.id);
  return static_cast<std::size_t>(
      std::count_if(m_candidates.live.begin(), m_candidates.live.end(),
                    [&](const Candidate& c) {
                      return SpreadKey(m_options.cell, c.id) < own;
                    }));
}

std::vector<Candidate> Election::ChooseSuccessors() const {
  std::vector<Candidate> others;
  for (const Candidate& candidate : m_candidates.live) {
    if (candidate.id != m_options.self.id) others.push_back(candidate);
  }
  const auto same_domain = [&](const Candidate& c) {
    return c.failure_domain == m_options.self.failure_domain;
  };
  std::stable_sort(others.begin(), others.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     if (same_domain(a) != same_domain(b)) {
                       return same_domain(b);
                     }
                     return SpreadKey(m_options.cell, a.id) <
                            SpreadKey(m_options.cell, b.id);
                   });
  if (others.size() > m_options.max_successors) {
    others.resize(m_options.max_successors);
  }
  return others;
}

void Election::OnCandidates(CandidateList candidates) {
  // Whoever is gone from the list may have taken over before, if it could.
  NoteLapse(candidates.vms_read);
  m_candidates = std::move(candidates);
  m_have_live = true;
}

}  // namespace yuccamoor
