/// \file
/// \brief Announced evictions: what a new leader must know of orders that an
/// earlier one may write late, and how it learns that none will come.

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/leadership/election.h"

namespace yuccamoor {

void Election::Announce(const std::set<SlotKey>& evictions) {
  if (m_leading) m_evictions = evictions;
}

bool Election::NeedsAnnouncement() const {
  if (!m_leading || m_resigned || !m_kv_reachable || m_read_first) return false;
  const auto& listed = m_record->evictions;
  return std::any_of(
      m_evictions.begin(), m_evictions.end(), [&](const SlotKey& key) {
        return std::find(listed.begin(), listed.end(), key) == listed.end();
      });
}

EvictionClearance Election::Clearance(TimeMs now) const {
  EvictionClearance clearance;
  if (!m_leading || m_resigned) return clearance;
  for (const SlotKey& key : m_record->evictions) {
    // A write that is under way may list it no more.
    const bool everywhere = std::all_of(
        m_attempts.begin(), m_attempts.end(), [&](const Attempt& attempt) {
          const auto& listed = attempt.evictions;
          return std::find(listed.begin(), listed.end(), key) != listed.end();
        });
    if (everywhere) clearance.announced.insert(key);
  }
  clearance.unlisted = MayOrderUnlisted(now);
  for (const OpenTerm& open : m_open_terms) {
    clearance.all_barred |= open.term.unlisted;
    clearance.barred.insert(open.term.evictions.begin(),
                            open.term.evictions.end());
  }
  return clearance;
}

bool Election::MayOrderUnlisted(TimeMs now) const {
  // The last write that may take effect says of earlier requests that nothing
  // unlisted was ordered on their promises.
  if (m_last_hold <= m_last_void_hold || now >= HoldDeadline()) return false;
  const std::vector<Candidate> needed = NeededPromises();
  return std::all_of(needed.begin(), needed.end(),
                     [&](const Candidate& successor) {
                       const auto promise = m_promises.find(successor.id);
                       return promise != m_promises.end() &&
                              promise->second.number > m_last_void_hold;
                     });
}

bool Election::MayHaveUnlisted() const {
  // A leader that has stepped down lists all that it ordered.
  if (m_record->released) return false;
  // An earlier life may have promised. The second change that is seen was
  // written after this life began, and voids such promises.
  if (m_changes_seen < 2) return true;
  if (m_granted_epoch != m_record->epoch) {
    return m_granted_epoch > m_record->epoch;
  }
  return m_granted_hold > m_record->last_void_hold;
}

std::vector<UnsettledTerm> Election::InheritTerms() const {
  if (!m_record) return {};
  std::vector<UnsettledTerm> terms = m_record->unsettled;
  const bool unlisted = MayHaveUnlisted();
  if (m_record->evictions.empty() && !unlisted) return terms;
  const auto earlier =
      std::find_if(terms.begin(), terms.end(), [&](const UnsettledTerm& term) {
        return term.leader.id == m_record->leader.id &&
               term.incarnation == m_record->incarnation;
      });
  if (earlier == terms.end()) {
    terms.push_back(UnsettledTerm{m_record->leader, m_record->incarnation,
                                  m_record->epoch, unlisted,
                                  m_record->evictions});
    return terms;
  }
  // A word of this life counts for all of its terms.
  earlier->epoch = m_record->epoch;
  earlier->unlisted |= unlisted;
  std::set<SlotKey> evictions(earlier->evictions.begin(),
                              earlier->evictions.end());
  evictions.insert(m_record->evictions.begin(), m_record->evictions.end());
  earlier->evictions.assign(evictions.begin(), evictions.end());
  return terms;
}

std::vector<UnsettledTerm> Election::OpenTerms() const {
  std::vector<UnsettledTerm> terms;
  terms.reserve(m_open_terms.size());
  for (const OpenTerm& open : m_open_terms) terms.push_back(open.term);
  return terms;
}

void Election::SettleTerms(TimeMs now, ElectionActions& actions) {
  const bool ask = now >= m_next_settle;
  if (ask) m_next_settle = now + m_options.settle_interval;
  for (OpenTerm& open : m_open_terms) {
    const UnsettledTerm& term = open.term;
    if (open.ends) continue;
    if (!IsLive(term.leader.id) && m_candidates.members_read > m_term_began) {
      open.ends = now + m_options.order_timeout + m_options.margin;
    } else if (ask) {
      const SettleRequest request{m_options.cell, term.leader.id,
                                  term.incarnation, term.epoch};
      actions.emplace_back(SendSettleRequest{term.leader, request});
    }
  }
  std::erase_if(m_open_terms, [&](const OpenTerm& open) {
    return open.ends && now >= *open.ends;
  });
}

SettleReply Election::OnSettleRequest(const SettleRequest& request,
                                      bool orders_open, TimeMs now) {
  SettleReply reply{request.cell, m_options.self.id, request.incarnation,
                    request.epoch};
  if (request.to != m_options.self.id) return reply;
  if (request.incarnation != m_options.incarnation) {
    // The process that led has ended.
    reply.settled = request.incarnation < m_options.incarnation;
    return reply;
  }
  const bool leads = m_leading && m_epoch <= request.epoch;
  if (leads && !m_pending) m_next_call = std::min(m_next_call, now);
  reply.settled = !leads && !orders_open;
  return reply;
}

void Election::OnSettleReply(const SettleReply& reply, TimeMs now) {
  if (!reply.settled) return;
  for (OpenTerm& open : m_open_terms) {
    const UnsettledTerm& term = open.term;
    const bool same = term.leader.id == reply.from &&
                      term.incarnation == reply.incarnation &&
                      term.epoch == reply.epoch;
    if (!same || open.ends) continue;
    // What was written right before the reply is still under way.
    open.ends = now + m_options.order_timeout + m_options.margin;
  }
}

}  // namespace yuccamoor
