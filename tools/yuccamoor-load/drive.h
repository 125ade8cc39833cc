/// \file
/// \brief Runs a planned workload in real time.

#ifndef YUCCAMOOR_TOOLS_YUCCAMOOR_LOAD_DRIVE_H_
#define YUCCAMOOR_TOOLS_YUCCAMOOR_LOAD_DRIVE_H_

#include <cstddef>

#include "caller.h"
#include "yuccamoor/standins/workload.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

class WorkerPool;

/// Makes each planned call at its time, or later while \p max_in_flight run,
/// and returns after the last one's end. All arguments must outlive the calls.
Awaitable<void> Drive(WorkerPool& pool, const Clock& clock, Workload& workload,
                      Caller& caller, std::size_t max_in_flight);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TOOLS_YUCCAMOOR_LOAD_DRIVE_H_
