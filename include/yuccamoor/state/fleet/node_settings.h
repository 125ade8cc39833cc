/// \file
/// \brief The settings of one node, as plain data.

#ifndef YUCCAMOOR_STATE_FLEET_NODE_SETTINGS_H_
#define YUCCAMOOR_STATE_FLEET_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// An IP number and a port.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

/// Writes "ip:port".
inline std::string ToString(const SocketAddress& address) {
  return address.ip + ":" + std::to_string(address.port);
}

/// Parses "ip:port"; the port is zero for a text that is no such address.
SocketAddress ParseSocketAddress(std::string_view text);

/// What a node learns at its start.
struct NodeSettings {
  NodeId node;
  FailureDomainId domain;
  /// Clients connect here.
  SocketAddress client_address;
  /// The balancer asks here whether the node takes new connections.
  SocketAddress readiness_address;
  /// Peers send datagrams here.
  SocketAddress peer_address;
  /// Counters and histograms are served here.
  SocketAddress metrics_address;
  SocketAddress store_address;
  /// Whether the whole fleet starts for the first time.
  bool first_start = false;
  /// Between SIGTERM and SIGKILL.
  DurationMs shutdown_grace{8'000};
  /// How soon a change in the store has to be in force at every node.
  DurationMs max_propagation_delay{2'000};
  /// Orders of two holders to one engine lie at least this far apart.
  DurationMs holder_separation{3'000};
  /// Retries per request that all nodes together may send, over a window.
  double retry_fraction = 0.2;
  DurationMs retry_window{10'000};
  /// Retries that all nodes together may send beyond the share in a window.
  std::uint32_t retry_burst = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_STATE_FLEET_NODE_SETTINGS_H_
