/// \file
/// \brief A call to the key-value service that decision code asks for.

#ifndef YUCCAMOOR_COORDINATION_CONFIG_KV_CALL_H_
#define YUCCAMOOR_COORDINATION_CONFIG_KV_CALL_H_

#include <cstdint>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/key_value.h"

namespace yuccamoor {

/// Matches a reply to its call.
using KvCallId = NumberId<struct KvCallIdTag>;

/// One call, to be sent after the delay.
struct KvCall {
  KvCallId id;
  KvRequest request;
  DurationMs delay{0};
};

using KvCalls = std::vector<KvCall>;

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_CONFIG_KV_CALL_H_
