/// \file
/// \brief Promises not to take over, on which a leader's authority rests while
/// the key-value service is down.

#include <algorithm>

#include "yuccamoor/coordination/leadership/election.h"

namespace yuccamoor {
namespace {

/// Hold requests whose send times are remembered.
constexpr std::size_t kMaxHoldRequests = 32;

void AddMissing(const std::vector<Candidate>& from,
                std::vector<Candidate>& to) {
  for (const Candidate& candidate : from) {
    if (!Contains(to, candidate.id)) to.push_back(candidate);
  }
}

}  // namespace

void Election::AskForHolds(TimeMs now, ElectionActions& actions) {
  if (!m_options.use_holds || now < m_next_hold) return;
  m_next_hold = now + m_options.hold_interval;
  m_last_hold = m_last_hold.Next();
  m_hold_requests[m_last_hold] = now;
  if (m_hold_requests.size() > kMaxHoldRequests) {
    m_hold_requests.erase(m_hold_requests.begin());
  }
  for (const Candidate& successor : NeededPromises()) {
    const HoldRequest request{m_options.cell, m_options.self.id, m_epoch,
                              m_last_hold, m_options.hold};
    actions.emplace_back(SendHoldRequest{successor, request});
  }
}

std::vector<Candidate> Election::NamedSuccessors() const {
  std::vector<Candidate> named = m_record->successors;
  // A renewal whose answer was lost may have named other successors.
  for (const Attempt& attempt : m_attempts) {
    AddMissing(attempt.successors, named);
  }
  return named;
}

std::vector<Candidate> Election::NeededPromises() const {
  std::vector<Candidate> needed = NamedSuccessors();
  if (m_lapsed) return needed;
  std::erase_if(needed, [&](const Candidate& c) { return !IsLive(c.id); });
  return needed;
}

void Election::NoteLapse(TimeMs now) {
  if (m_leading && now >= OrderDeadline()) m_lapsed = true;
}

TimeMs Election::HoldDeadline() const {
  if (!m_options.use_holds || m_hold_requests.empty()) return TimeMs();
  TimeMs earliest = m_hold_requests.rbegin()->second;
  const std::vector<Candidate> needed = NeededPromises();
  // A successor that the list does not name may have started since the list was
  // read. It then takes over nothing for as long as a promise would last.
  if (needed.size() < NamedSuccessors().size()) {
    earliest = std::min(earliest, m_candidates.vms_read);
  }
  for (const Candidate& successor : needed) {
    const auto promise = m_promises.find(successor.id);
    if (promise == m_promises.end()) return TimeMs();
    earliest = std::min(earliest, promise->second.sent);
  }
  return earliest + m_options.hold - m_options.margin;
}

HoldReply Election::OnHoldRequest(const HoldRequest& request, TimeMs now) {
  HoldReply reply{request.cell, m_options.self.id, request.epoch,
                  request.number};
  // The leader's claim is settled by the record as soon as it can be read.
  const bool stale = request.epoch < m_epoch || m_leading;
  if (stale || m_unsettled || m_kv_reachable ||
      (m_pending && m_pending->written)) {
    if (!m_pending) m_next_call = std::min(m_next_call, now);
    return reply;
  }
  m_hold_until = std::max(m_hold_until, now + request.hold);
  reply.granted = true;
  if (request.epoch > m_granted_epoch) m_granted_hold = Sequence();
  m_granted_epoch = std::max(m_granted_epoch, request.epoch);
  m_granted_hold = std::max(m_granted_hold, request.number);
  return reply;
}

void Election::OnHoldReply(const HoldReply& reply) {
  const auto request = m_hold_requests.find(reply.number);
  if (!m_leading || !reply.granted || reply.epoch != m_epoch ||
      request == m_hold_requests.end()) {
    return;
  }
  Promise& promise = m_promises[reply.from];
  if (reply.number > promise.number) {
    promise = Promise{reply.number, request->second};
  }
}

}  // namespace yuccamoor
