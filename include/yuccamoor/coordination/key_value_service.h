/// \file
/// \brief Interface to the platform's key-value service.

#ifndef YUCCAMOOR_COORDINATION_KEY_VALUE_SERVICE_H_
#define YUCCAMOOR_COORDINATION_KEY_VALUE_SERVICE_H_

#include <functional>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/key_value.h"

namespace yuccamoor {

/// Carries calls to the key-value service. Safe to use from several threads.
class KeyValueService {
 public:
  using Callback = std::function<void(KvReply)>;

  virtual ~KeyValueService() = default;

  /// Sends the call and hands its reply to \p done, exactly once and no later
  /// than \p timeout, possibly on another thread. A write whose answer does not
  /// come in time ends as KvStatus::kUnknown.
  virtual void Call(KvRequest request, DurationMs timeout, Callback done) = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_KEY_VALUE_SERVICE_H_
