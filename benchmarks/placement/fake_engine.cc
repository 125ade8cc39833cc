/// \file
/// \brief Implementation of the engine in virtual time.

#include "fake_engine.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace yuccamoor::placement_benchmark {
namespace {

/// Rounding slack in tokens.
constexpr double kEpsilon = 1e-6;

}  // namespace

std::uint32_t FakeEngine::RunningFor(TargetIndex target) const {
  const auto found = m_running_for.find(target);
  return found == m_running_for.end() ? 0 : found->second;
}

double FakeEngine::TokenTimeMs() const {
  return kStepMs + kStepMsPerRequest * running();
}

void FakeEngine::Advance(TimeMs now) {
  const auto elapsed = static_cast<double>((now - m_now).ms());
  assert(elapsed >= 0 && "time must not go back");
  m_now = now;
  if (m_by_finish.empty()) return;
  m_progress += elapsed / TokenTimeMs();
  m_request_ms += elapsed * running();
  m_busy_ms += elapsed;
}

void FakeEngine::Start(RequestIndex request, TargetIndex target,
                       std::uint32_t tokens, TimeMs now) {
  assert(HasRoom() && "the batch is full");
  Advance(now);
  const auto place = m_by_finish.emplace(m_progress + tokens, request);
  m_entries[request] = Entry{target, place};
  ++m_running_for[target];
}

void FakeEngine::Cancel(RequestIndex request, TimeMs now) {
  Advance(now);
  Remove(request);
}

void FakeEngine::Remove(RequestIndex request) {
  const auto found = m_entries.find(request);
  assert(found != m_entries.end() && "the request must run here");
  const auto count = m_running_for.find(found->second.target);
  if (--count->second == 0) m_running_for.erase(count);
  m_by_finish.erase(found->second.place);
  m_entries.erase(found);
}

std::vector<RequestIndex> FakeEngine::TakeFinished(TimeMs now) {
  Advance(now);
  std::vector<RequestIndex> finished;
  while (!m_by_finish.empty() &&
         m_by_finish.begin()->first <= m_progress + kEpsilon) {
    finished.push_back(m_by_finish.begin()->second);
    Remove(finished.back());
  }
  return finished;
}

std::vector<RequestIndex> FakeEngine::Restart(TimeMs now) {
  Advance(now);
  std::vector<RequestIndex> lost;
  for (const auto& [finish, request] : m_by_finish) lost.push_back(request);
  for (const RequestIndex request : lost) Remove(request);
  return lost;
}

std::optional<TimeMs> FakeEngine::NextFinish() const {
  if (m_by_finish.empty()) return std::nullopt;
  const double tokens = m_by_finish.begin()->first - m_progress;
  const double wait = std::ceil(std::max(0.0, tokens * TokenTimeMs()));
  return m_now + DurationMs(static_cast<std::int64_t>(wait));
}

}  // namespace yuccamoor::placement_benchmark
