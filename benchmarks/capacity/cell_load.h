/// \file
/// \brief One cell's leader with its gateways at a given size, driven in
/// virtual time to measure bytes, processor time and memory.

#ifndef YUCCAMOOR_BENCHMARKS_CAPACITY_CELL_LOAD_H_
#define YUCCAMOOR_BENCHMARKS_CAPACITY_CELL_LOAD_H_

#include <cstddef>
#include <cstdint>

namespace yuccamoor {

/// What a cell consists of.
struct CellShape {
  std::size_t gateways = 9;
  std::size_t workers = 9;
  std::size_t slots = 8;
  /// Adapter versions that each gateway holds grants for.
  std::size_t grants_per_gateway = 32;
};

/// What one renewal of one session costs, and one leader's state.
struct CellCosts {
  double sync_bytes = 0;
  double update_bytes = 0;
  /// Processor time in microseconds.
  double leader_renewal_us = 0;
  double leader_tick_us = 0;
  double leader_report_us = 0;
  double gateway_renewal_us = 0;
  std::size_t leader_bytes = 0;
  /// Memory of one gateway's session.
  std::size_t session_bytes = 0;
};

/// Builds the cell, lets every gateway take its grants, then renews every
/// session \p rounds times.
CellCosts MeasureCell(const CellShape& shape, std::size_t rounds);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_BENCHMARKS_CAPACITY_CELL_LOAD_H_
