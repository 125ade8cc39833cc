/// \file
/// \brief Approximate request rates of very many targets in bounded memory.

#ifndef YUCCAMOOR_COORDINATION_PLACEMENT_FREQUENCY_SKETCH_H_
#define YUCCAMOOR_COORDINATION_PLACEMENT_FREQUENCY_SKETCH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// A count-min sketch whose counts halve with each half-life. Rates may be
/// overestimated where targets collide, never underestimated but by rounding.
class FrequencySketch {
 public:
  /// \p width is the number of counters of each row, at least 1.
  FrequencySketch(std::size_t width, DurationMs half_life);

  /// Counts requests for the target. Times must not go back.
  void Add(const AdapterVersion& target, std::uint32_t requests, TimeMs now);

  /// Returns the target's recent rate in requests per second.
  double RatePerSecond(const AdapterVersion& target, TimeMs now) const;

  /// Memory of the counters in bytes.
  std::size_t Bytes() const { return m_counters.size() * sizeof(double); }

 private:
  static constexpr std::size_t kRows = 3;
  using Cells = std::array<std::size_t, kRows>;

  Cells CellsOf(const AdapterVersion& target) const;
  double Scale(TimeMs now) const;
  void Rescale(TimeMs now);

  std::size_t m_width;
  DurationMs m_half_life;
  /// Counts are kept in units of the time of origin, so that ageing costs
  /// nothing: a later request counts for more.
  TimeMs m_origin;
  std::vector<double> m_counters;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_PLACEMENT_FREQUENCY_SKETCH_H_
