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

/// An IP address and a port.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

/// Returns "ip:port".
inline std::string ToString(const SocketAddress& address) {
  return address.ip + ":" + std::to_string(address.port);
}

/// Parses "ip:port". The port of the result is zero if the text is malformed.
SocketAddress ParseSocketAddress(std::string_view text);

/// Settings that a node reads at its start.
struct NodeSettings {
  NodeId node;
  FailureDomainId domain;
  /// Listening address for clients.
  SocketAddress client_address;
  /// Listening address for the load balancer's readiness probe, which asks
  /// whether the node accepts new connections.
  SocketAddress readiness_address;
  /// Address to which peers send datagrams.
  SocketAddress peer_address;
  /// Listening address that serves counters and histograms.
  SocketAddress metrics_address;
  SocketAddress store_address;
  /// Whether this is the first start of the whole fleet.
  bool first_start = false;
  /// Time between SIGTERM and SIGKILL.
  DurationMs shutdown_grace{8'000};
  /// The maximum time until a change in the store is in force at every node.
  DurationMs max_propagation_delay{2'000};
  /// The maximum time after an adapter's version was published until requests
  /// begin on no older one.
  DurationMs max_version_age{5'000};
  /// The minimum time between orders of two different holders to one engine.
  DurationMs holder_separation{3'000};
  /// Maximum ratio of retries to requests, over all nodes and one retry_window.
  double retry_fraction = 0.2;
  DurationMs retry_window{10'000};
  /// Retries that all nodes together may send per retry_window in addition to
  /// retry_fraction.
  std::uint32_t retry_burst = 0;
  /// The memory that the process may take up, in bytes; zero if unknown.
  std::uint64_t max_memory_bytes = 0;
  /// The descriptors that the process may have open, sockets and files; zero if
  /// unknown.
  std::uint32_t max_descriptors = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_STATE_FLEET_NODE_SETTINGS_H_
