/// \file
/// \brief Planning of callers' requests.

#include "yuccamoor/standins/workload.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace yuccamoor {

Workload::Workload(WorkloadOptions options)
    : m_options(std::move(options)), m_random(m_options.seed) {
  assert(!m_options.targets.empty() && "callers need a target");
  double sum = 0;
  for (std::size_t rank = 1; rank <= m_options.targets.size(); ++rank) {
    sum += 1 / std::pow(static_cast<double>(rank), m_options.skew);
    m_cumulative.push_back(sum);
  }
}

std::optional<PlannedCall> Workload::Next() {
  PlannedCall call;
  call.number = m_planned++;
  call.at = call.number < m_options.power_cut ? DurationMs(0) : NextArrival();
  if (call.at >= m_options.duration) return std::nullopt;
  const bool charge = Uniform() < m_options.charge_share;
  call.kind = charge ? CallKind::kCharge : CallKind::kChat;
  call.target = PickTarget(call.at);
  return call;
}

double Workload::Uniform() {
  return std::uniform_real_distribution<double>()(m_random);
}

DurationMs Workload::NextArrival() {
  constexpr double kMsPerSecond = 1000;
  // Keeps the first gaps of a ramp finite.
  constexpr double kLowestShare = 0.05;
  double share = 1;
  if (m_options.ramp > DurationMs(0)) {
    share = m_at_ms / static_cast<double>(m_options.ramp.ms());
    share = std::clamp(share, kLowestShare, 1.0);
  }
  const double rate = m_options.requests_per_second * share;
  if (rate <= 0) return m_options.duration;
  m_at_ms += -std::log(1 - Uniform()) * kMsPerSecond / rate;
  const auto duration = static_cast<double>(m_options.duration.ms());
  return DurationMs(static_cast<std::int64_t>(std::min(m_at_ms, duration)));
}

const AdapterVersion& Workload::PickTarget(DurationMs at) {
  const double draw = Uniform() * m_cumulative.back();
  const auto found =
      std::upper_bound(m_cumulative.begin(), m_cumulative.end(), draw);
  const auto count = m_options.targets.size();
  std::size_t rank = static_cast<std::size_t>(found - m_cumulative.begin());
  const bool shifted =
      m_options.shift_at > DurationMs(0) && at >= m_options.shift_at;
  // After the shift the ranks go to the other half first.
  if (shifted) rank += count / 2;
  return m_options.targets[rank % count];
}

}  // namespace yuccamoor
