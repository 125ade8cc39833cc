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

constexpr double kMsPerSecond = 1'000;

/// How many times faster than the store's rate a waiter's turn would have to
/// come before it is not refused: targets ahead of it may drop out.
constexpr double kRefusalCertainty = 4;

/// Gateways run warm requests without asking, so that these are counted from
/// what runs: as many arrive in a time as end in it.
constexpr DurationMs kCountInterval{1'000};

bool IsLoaded(const std::vector<LoadDecision>& loads,
              const AdapterVersion& target) {
  return std::any_of(loads.begin(), loads.end(),
                     [&](const LoadDecision& l) { return l.target == target; });
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
  decision.loads = ChooseLoads(state, now, allowed);
  std::erase_if(decision.refusals, [&](const RefuseDecision& refusal) {
    return IsLoaded(decision.loads, refusal.target);
  });
  return decision;
}

std::vector<LoadDecision> WeightedPolicy::ChooseLoads(
    const CellState& state, TimeMs now, std::uint32_t allowed) const {
  std::vector<LoadDecision> loads;
  std::vector<Candidate> heap = FindCandidates(state, now);
  std::make_heap(heap.begin(), heap.end(), IsWorthLess);
  std::size_t tries = allowed + kSpareCandidates;
  while (loads.size() < allowed && !heap.empty() && tries > 0) {
    std::pop_heap(heap.begin(), heap.end(), IsWorthLess);
    Candidate& best = heap.back();
    const WaitingTarget& waiting = *best.waiting;
    if (!best.adjusted) {
      const TargetPresence presence = FindPresence(state, waiting.target);
      if (presence.load_under_way || presence.has_batch_room) {
        heap.pop_back();
        continue;
      }
      // A further replica speeds up the same waiters, so that each is worth
      // less than the one before.
      best.worth /= 1.0 + presence.holders;
      best.holders = presence.holders;
      best.adjusted = true;
      std::push_heap(heap.begin(), heap.end(), IsWorthLess);
      continue;
    }
    --tries;
    std::optional<LoadDecision> load = PlaceTarget(state, best, now, loads);
    heap.pop_back();
    if (load.has_value()) loads.push_back(*std::move(load));
  }
  return loads;
}

std::optional<LoadDecision> WeightedPolicy::PlaceTarget(
    const CellState& state, const Candidate& candidate, TimeMs now,
    const std::vector<LoadDecision>& decided) const {
  const LoadPlace place = FindPlace(state, candidate, now, decided);
  if (place.worker == nullptr || place.cost >= candidate.worth) {
    return std::nullopt;
  }
  LoadDecision load{candidate.waiting->target, place.worker->id, std::nullopt};
  if (place.victim != nullptr) load.victim = place.victim->target;
  return load;
}

void WeightedPolicy::CountRunning(const CellState& state, TimeMs now) {
  m_counted_at = now;
  const double requests_per_running =
      static_cast<double>(kCountInterval.ms()) /
      static_cast<double>(m_options.answer_time.ms());
  const double answer_seconds =
      static_cast<double>(m_options.answer_time.ms()) / kMsPerSecond;
  m_expected_running.assign(state.workers.size(), 0);
  for (std::size_t i = 0; i < state.workers.size(); ++i) {
    for (const SlotState& slot : state.workers[i].occupied) {
      if (slot.running > 0) {
        m_demand.Add(slot.target, slot.running * requests_per_running, now);
      }
      m_expected_running[i] +=
          m_demand.RatePerSecond(slot.target, now) * answer_seconds;
    }
  }
}

std::vector<RefuseDecision> WeightedPolicy::FindHopeless(const CellState& state,
                                                         TimeMs now) {
  std::vector<RefuseDecision> refusals;
  const double rate = state.store.loads_per_second;
  if (rate <= 0) return refusals;
  std::vector<Candidate> order = FindCandidates(state, now);
  std::sort(
      order.begin(), order.end(),
      [](const Candidate& a, const Candidate& b) { return IsWorthLess(b, a); });
  for (std::size_t i = kSpareCandidates; i < order.size(); ++i) {
    const WaitingTarget& waiting = *order[i].waiting;
    // The later waiters' deadlines are not known.
    if (waiting.waiters != 1 || waiting.deadline == TimeMs::Never()) continue;
    const double turn_ms = static_cast<double>(i - kSpareCandidates) /
                           (rate * kRefusalCertainty) * kMsPerSecond;
    const auto left_ms = static_cast<double>((waiting.deadline - now).ms());
    if (turn_ms <= left_ms) continue;
    const TargetPresence presence = FindPresence(state, waiting.target);
    if (presence.holders > 0 || presence.load_under_way) continue;
    const double queue_ms =
        static_cast<double>(order.size()) / rate * kMsPerSecond;
    refusals.push_back(
        {waiting.target, DurationMs(static_cast<std::int64_t>(queue_ms))});
  }
  return refusals;
}

std::vector<WeightedPolicy::Candidate> WeightedPolicy::FindCandidates(
    const CellState& state, TimeMs now) const {
  std::vector<Candidate> candidates;
  candidates.reserve(state.waiting.size());
  for (const auto& [target, waiting] : state.waiting) {
    if (!IsDue(waiting, now)) continue;
    const double worth = Worth(waiting, state, now);
    if (worth > 0) candidates.push_back(Candidate{&waiting, worth, false});
  }
  return candidates;
}

bool WeightedPolicy::IsWorthLess(const Candidate& a, const Candidate& b) {
  if (a.worth != b.worth) return a.worth < b.worth;
  return b.waiting->target < a.waiting->target;
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
  return m_demand.RatePerSecond(target, now) *
         static_cast<double>(m_options.residence.ms()) / kMsPerSecond *
         static_cast<double>(m_options.stall_per_miss.ms());
}

}  // namespace yuccamoor
