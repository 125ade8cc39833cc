/// \file
/// \brief Quantiles by Boost.Accumulators over windows of a minute.

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <vector>

#include "yuccamoor/transport/observability/metrics.h"

namespace yuccamoor {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kProbabilities = {0.5, 0.95, 0.99};
constexpr DurationMs kWindow(60'000);
/// Up to this many observations quantiles are exact; the estimate needs some.
constexpr std::size_t kExactObservations = 64;

}  // namespace

/// The observations of one minute.
class Distribution::Window {
 public:
  Window()
      : m_estimate(acc::tag::extended_p_square::probabilities =
                       kProbabilities) {}

  void Add(double value) {
    m_estimate(value);
    if (m_first.size() < kExactObservations) m_first.push_back(value);
    ++m_count;
  }

  bool empty() const { return m_count == 0; }

  double Quantile(double probability) const {
    if (m_count == 0) return 0;
    if (m_count <= kExactObservations) return ExactQuantile(probability);
    const auto* found =
        std::find(kProbabilities.begin(), kProbabilities.end(), probability);
    if (found == kProbabilities.end()) return 0;
    const auto index = found - kProbabilities.begin();
    return acc::extended_p_square(m_estimate)[index];
  }

 private:
  double ExactQuantile(double probability) const {
    std::vector<double> sorted = m_first;
    std::sort(sorted.begin(), sorted.end());
    const double rank =
        std::ceil(probability * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
  }

  acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>
      m_estimate;
  std::vector<double> m_first;
  std::size_t m_count = 0;
};

Distribution::Distribution(const Clock& clock)
    : m_clock(clock),
      m_current(std::make_unique<Window>()),
      m_window_begin(clock.Now()) {}

Distribution::~Distribution() = default;

void Distribution::Observe(double value) {
  const std::lock_guard lock(m_mutex);
  Rotate();
  m_current->Add(value);
  ++m_count;
  m_sum += value;
}

std::uint64_t Distribution::count() const {
  const std::lock_guard lock(m_mutex);
  return m_count;
}

double Distribution::sum() const {
  const std::lock_guard lock(m_mutex);
  return m_sum;
}

double Distribution::Quantile(double probability) const {
  const std::lock_guard lock(m_mutex);
  Rotate();
  const Window& window = m_last ? *m_last : *m_current;
  return window.Quantile(probability);
}

void Distribution::Rotate() const {
  const TimeMs now = m_clock.Now();
  if (now - m_window_begin < kWindow) return;
  // After a longer silence the last minute was empty.
  const bool recent = now - m_window_begin < kWindow * 2;
  m_last = recent ? std::move(m_current) : std::make_unique<Window>();
  m_current = std::make_unique<Window>();
  m_window_begin = now;
}

}  // namespace yuccamoor
