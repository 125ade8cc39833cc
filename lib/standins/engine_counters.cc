/// \file
/// \brief JSON form of the engine stand-in's counters.

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/standins/engine_core.h"

namespace yuccamoor {

std::string EncodeEngineCounters(const EngineCounters& counters,
                                 const InstanceId& instance,
                                 std::uint32_t batch) {
  return Json{{"instance", instance},
              {"loads_done", counters.loads_done},
              {"loads_failed", counters.loads_failed},
              {"evictions", counters.evictions},
              {"evictions_in_use", counters.evictions_in_use},
              {"stale_orders", counters.stale_orders},
              {"streams_started", counters.streams_started},
              {"attempts_joined", counters.attempts_joined},
              {"streams_finished", counters.streams_finished},
              {"streams_cut", counters.streams_cut},
              {"streams_cancelled", counters.streams_cancelled},
              {"not_resident", counters.not_resident},
              {"tokens", counters.tokens},
              {"busy_steps", counters.busy_steps},
              {"batch_capacity", batch}}
      .dump();
}

}  // namespace yuccamoor
