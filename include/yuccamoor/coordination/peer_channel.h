/// \file
/// \brief Interface to the other processes of the system.

#ifndef YUCCAMOOR_COORDINATION_PEER_CHANNEL_H_
#define YUCCAMOOR_COORDINATION_PEER_CHANNEL_H_

#include <functional>
#include <optional>
#include <string>

#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// Calls methods of peers. Safe to use from several threads.
class PeerChannel {
 public:
  /// The reply's JSON text, or nothing if none came in time.
  using Callback = std::function<void(std::optional<std::string>)>;

  virtual ~PeerChannel() = default;

  /// Calls \p method of the peer at \p address ("ip:port") with parameters as
  /// JSON text. \p done is called exactly once, no later than \p timeout. The
  /// call may have been handled also when no reply came.
  virtual void Call(const std::string& address, const std::string& method,
                    const std::string& parameters, DurationMs timeout,
                    Callback done) = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_PEER_CHANNEL_H_
