/// \file
/// \brief Runs decision code that asks for key-value calls until it is done,
/// for programs that do nothing else meanwhile.

#ifndef YUCCAMOOR_TRANSPORT_CONFIG_KV_CALL_RUNNER_H_
#define YUCCAMOOR_TRANSPORT_CONFIG_KV_CALL_RUNNER_H_

#include <functional>

#include "yuccamoor/coordination/config/kv_call.h"
#include "yuccamoor/coordination/key_value_service.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// Takes a reply and returns the next calls.
using KvReplyHandler = std::function<KvCalls(KvCallId, const KvReply&)>;

/// Makes the calls, each after its delay, and hands every reply to \p on_reply
/// on the calling thread, until no call is left or the deadline has come.
/// Returns whether no call was left.
bool RunKvCalls(KeyValueService& service, const Clock& clock, TimeMs deadline,
                KvCalls first, const KvReplyHandler& on_reply);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_CONFIG_KV_CALL_RUNNER_H_
