/// \file
/// \brief Connections that wait for their next request.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_IDLE_CONNECTIONS_H_
#define YUCCAMOOR_TRANSPORT_FLEET_IDLE_CONNECTIONS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/fleet/socket.h"

namespace yuccamoor::fleet {

/// Idle connections by address. A connection that its peer may close soon, or
/// that has bytes to read, is not handed out.
class IdleConnections {
 public:
  /// Returns a good connection, or null.
  std::unique_ptr<Socket> Take(const std::string& address, TimeMs now);
  /// Keeps a connection until the time given.
  void Put(const std::string& address, std::unique_ptr<Socket> socket,
           TimeMs usable_until);
  /// Closes all idle connections to the address.
  void Drop(const std::string& address);
  /// Closes what is out of date.
  void Expire(TimeMs now);

 private:
  struct Idle {
    std::unique_ptr<Socket> socket;
    TimeMs usable_until;
  };

  std::map<std::string, std::vector<Idle>> m_idle;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_IDLE_CONNECTIONS_H_
