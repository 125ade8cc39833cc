/// \file
/// \brief Connections that wait for their next request.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_IDLE_CONNECTIONS_H_
#define YUCCAMOOR_TRANSPORT_FLEET_IDLE_CONNECTIONS_H_

#include <cstddef>
#include <limits>
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
  static constexpr std::size_t kNoLimit =
      std::numeric_limits<std::size_t>::max();

  /// \p max_idle bounds the connections to all addresses.
  explicit IdleConnections(std::size_t max_idle = kNoLimit)
      : m_max_idle(max_idle) {}

  /// Returns a good connection, or null.
  std::unique_ptr<Socket> Take(const std::string& address, TimeMs now);
  /// Keeps a connection until the time given, or closes it where there are too
  /// many.
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

  std::size_t Count() const;

  std::size_t m_max_idle;
  std::map<std::string, std::vector<Idle>> m_idle;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_IDLE_CONNECTIONS_H_
