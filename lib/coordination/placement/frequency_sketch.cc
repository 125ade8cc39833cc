/// \file
/// \brief Implementation of the ageing frequency sketch.

#include "yuccamoor/coordination/placement/frequency_sketch.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace yuccamoor {
namespace {

/// Half-lives after which counters are brought back to a small origin.
constexpr std::int64_t kRescaleHalfLives = 256;

constexpr double kMsPerSecond = 1'000;

}  // namespace

FrequencySketch::FrequencySketch(std::size_t width, DurationMs half_life)
    : m_width(width), m_half_life(half_life), m_counters(width * kRows, 0.0) {
  assert(width > 0 && "a sketch needs counters");
  assert(half_life.ms() > 0 && "counts must age");
}

void FrequencySketch::Add(const AdapterVersion& target, std::uint32_t requests,
                          TimeMs now) {
  if (now - m_origin > m_half_life * kRescaleHalfLives) Rescale(now);
  const Cells cells = CellsOf(target);
  double least = std::numeric_limits<double>::max();
  for (const std::size_t cell : cells) {
    least = std::min(least, m_counters[cell]);
  }
  // Conservative update: only counters below the new estimate grow.
  const double estimate = least + requests * Scale(now);
  for (const std::size_t cell : cells) {
    m_counters[cell] = std::max(m_counters[cell], estimate);
  }
}

double FrequencySketch::RatePerSecond(const AdapterVersion& target,
                                      TimeMs now) const {
  double least = std::numeric_limits<double>::max();
  for (const std::size_t cell : CellsOf(target)) {
    least = std::min(least, m_counters[cell]);
  }
  // A steady rate r holds the count at r * half-life / ln 2.
  const double seconds =
      static_cast<double>(m_half_life.ms()) / kMsPerSecond / std::log(2.0);
  return least / Scale(now) / seconds;
}

FrequencySketch::Cells FrequencySketch::CellsOf(
    const AdapterVersion& target) const {
  constexpr std::uint64_t kStep = 0x9E3779B97F4A7C15ULL;
  constexpr unsigned kFold = 32;
  const std::uint64_t hash = std::hash<AdapterVersion>()(target) * kStep;
  const std::uint64_t step = (hash >> kFold) | 1U;
  Cells cells{};
  for (std::size_t row = 0; row < kRows; ++row) {
    const std::uint64_t mixed = hash + row * step;
    cells[row] = row * m_width + (mixed ^ (mixed >> kFold)) % m_width;
  }
  return cells;
}

double FrequencySketch::Scale(TimeMs now) const {
  return std::exp2(static_cast<double>((now - m_origin).ms()) /
                   static_cast<double>(m_half_life.ms()));
}

void FrequencySketch::Rescale(TimeMs now) {
  const double scale = Scale(now);
  for (double& counter : m_counters) counter /= scale;
  m_origin = now;
}

}  // namespace yuccamoor
