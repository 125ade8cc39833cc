/// \file
/// \brief Implementation of the weighted placement policy.

#include "yuccamoor/coordination/placement/weighted_policy.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "yuccamoor/coordination/placement/cell_view.h"

namespace yuccamoor {
namespace {

/// Candidates looked at beyond the loads allowed, as some may have no place.
constexpr std::size_t kSpareCandidates = 16;

/// How many times faster than the store's rate a waiter's turn would have to
/// come before it is not refused: targets ahead of it may drop out.
constexpr double kRefusalCertainty = 4;

/// Gateways run warm requests without asking, so that these are counted from
/// what runs: as many arrive in a time as end in it.
constexpr DurationMs kCountInterval{1'000};

bool IsRefused(const PlacementDecision& decision,
               const AdapterVersion& target) {
  return std::any_of(
      decision.refusals.begin(), decision.refusals.end(),
      [&](const RefuseDecision& r) { return r.target == target; });
}

}  // namespace

Result<std::unique_ptr<WeightedPolicy>> WeightedPolicy::Create(
    const WeightedOptions& options) {
  Findings findings = Check(options);
  if (!findings.empty()) return findings;
  return std::unique_ptr<WeightedPolicy>(new WeightedPolicy(options));
}

WeightedPolicy::WeightedPolicy(const WeightedOptions& options)
    : m_options(options), m_demand(options.sketch_width, options.half_life) {}

void WeightedPolicy::OnDemand(const AdapterVersion& target,
                              std::uint32_t requests, TimeMs now) {
  m_demand.Add(target, requests, now);
}

PlacementDecision WeightedPolicy::Decide(const CellState& state, TimeMs now) {
  PlacementDecision decision;
  if (now - m_counted_at >= kCountInterval) CountRunning(state, now);
  if (now - m_refused_at >= m_options.refusal_interval) {
    m_refused_at = now;
    decision.refusals = FindHopeless(state, now);
  }
  const std::uint32_t allowed =
      std::min(LoadAllowance(state, now), m_options.max_loads_per_decision);
  if (allowed == 0) return decision;
  for (const Candidate& candidate : RankLoadable(state, now, allowed)) {
    if (decision.loads.size() >= allowed) break;
    const WaitingTarget& waiting = *candidate.waiting;
    if (IsRefused(decision, waiting.target)) continue;
    const LoadPlace place = FindPlace(state, waiting, now, decision);
    if (place.worker == nullptr || place.cost >= candidate.worth) continue;
    LoadDecision load{waiting.target, place.worker->id, std::nullopt};
    if (place.victim != nullptr) load.victim = place.victim->target;
    decision.loads.push_back(std::move(load));
  }
  return decision;
}

void WeightedPolicy::CountRunning(const CellState& state, TimeMs now) {
  m_counted_at = now;
  const double requests_per_running =
      static_cast<double>(kCountInterval.ms()) /
      static_cast<double>(m_options.answer_time.ms());
  for (const WorkerState& worker : state.workers) {
    for (const SlotState& slot : worker.occupied) {
      if (slot.running == 0) continue;
      m_demand.Add(slot.target, slot.running * requests_per_running, now);
    }
  }
}

std::vector<WeightedPolicy::Candidate> WeightedPolicy::RankLoadable(
    const CellState& state, TimeMs now, std::size_t count) const {
  std::vector<Candidate> candidates =
      Rank(state, now, count + kSpareCandidates);
  for (Candidate& candidate : candidates) {
    const AdapterVersion& target = candidate.waiting->target;
    const bool served =
        IsLoadUnderWay(state, target) || HasBatchRoom(state, target);
    // A further replica speeds up the same waiters, so that each is worth less
    // than the one before.
    candidate.worth =
        served ? 0 : candidate.worth / (1.0 + CountHolders(state, target));
  }
  std::sort(candidates.begin(), candidates.end(), IsWorthMore);
  while (!candidates.empty() && candidates.back().worth <= 0) {
    candidates.pop_back();
  }
  return candidates;
}

std::vector<RefuseDecision> WeightedPolicy::FindHopeless(const CellState& state,
                                                         TimeMs now) {
  constexpr double kMsPerSecond = 1'000;
  std::vector<RefuseDecision> refusals;
  const double rate = state.store.loads_per_second;
  if (rate <= 0) return refusals;
  const std::vector<Candidate> order = Rank(state, now, state.waiting.size());
  for (std::size_t i = kSpareCandidates; i < order.size(); ++i) {
    const WaitingTarget& waiting = *order[i].waiting;
    // The later waiters' deadlines are not known.
    if (waiting.waiters != 1 || waiting.deadline == TimeMs::Never()) continue;
    const double turn_ms = static_cast<double>(i - kSpareCandidates) /
                           (rate * kRefusalCertainty) * kMsPerSecond;
    const auto left_ms = static_cast<double>((waiting.deadline - now).ms());
    if (turn_ms <= left_ms || CountHolders(state, waiting.target) > 0) continue;
    const double queue_ms =
        static_cast<double>(order.size()) / rate * kMsPerSecond;
    refusals.push_back(
        {waiting.target, DurationMs(static_cast<std::int64_t>(queue_ms))});
  }
  return refusals;
}

std::vector<WeightedPolicy::Candidate> WeightedPolicy::Rank(
    const CellState& state, TimeMs now, std::size_t count) const {
  std::vector<Candidate> candidates;
  for (const auto& [target, waiting] : state.waiting) {
    if (!IsDue(waiting, now)) continue;
    const double worth = Worth(waiting, state, now);
    if (worth > 0) candidates.push_back(Candidate{&waiting, worth});
  }
  count = std::min(count, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(), IsWorthMore);
  candidates.resize(count);
  return candidates;
}

bool WeightedPolicy::IsWorthMore(const Candidate& a, const Candidate& b) {
  if (a.worth != b.worth) return a.worth > b.worth;
  return a.waiting->target < b.waiting->target;
}

double WeightedPolicy::Worth(const WaitingTarget& waiting,
                             const CellState& state, TimeMs now) const {
  const double saved = WaitingWorth(waiting, state, now);
  if (saved <= 0) return 0;
  return PriorityWeight(waiting.priority) * saved +
         ReuseWorth(waiting.target, now);
}

double WeightedPolicy::WaitingWorth(const WaitingTarget& waiting,
                                    const CellState& state, TimeMs now) const {
  const TimeMs deadline = waiting.deadline == TimeMs::Never()
                              ? now + m_options.assumed_deadline
                              : waiting.deadline;
  const TimeMs answer = now + state.store.load_time + m_options.answer_time;
  const auto first = static_cast<double>((deadline - answer).ms());
  // Later waiters came on average half way between the first one and now.
  const auto age = static_cast<double>((now - waiting.since).ms());
  const double later = first + age / 2;
  const auto answer_worth = static_cast<double>(m_options.answer_worth.ms());
  double worth = 0;
  if (first > 0) worth += first + answer_worth;
  if (later > 0) worth += (waiting.waiters - 1) * (later + answer_worth);
  return worth;
}

double WeightedPolicy::PriorityWeight(Priority priority) const {
  switch (priority) {
    case Priority::kInteractive:
      return m_options.interactive_weight;
    case Priority::kNormal:
      return m_options.normal_weight;
    case Priority::kBackground:
      return m_options.background_weight;
  }
  return m_options.normal_weight;
}

double WeightedPolicy::ReuseWorth(const AdapterVersion& target,
                                  TimeMs now) const {
  constexpr double kMsPerSecond = 1'000;
  return m_demand.RatePerSecond(target, now) *
         static_cast<double>(m_options.residence.ms()) / kMsPerSecond *
         static_cast<double>(m_options.stall_per_miss.ms());
}

}  // namespace yuccamoor
