/// \file
/// \brief The settings that every daemon has, and those of each role.

#ifndef YUCCAMOOR_PROTOCOL_DAEMON_SETTINGS_H_
#define YUCCAMOOR_PROTOCOL_DAEMON_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// An IP number and a port to listen on. Port 0 takes a free one.
struct ListenAddress {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
};

/// What a process learns about itself and its surroundings.
struct DaemonSettings {
  NodeId node;
  VmId vm;
  FailureDomainId failure_domain;
  std::string region;
  /// Where peers call.
  ListenAddress peer_listen;
  /// Where operators read metrics and status.
  ListenAddress operator_listen;
  /// The key-value service and the VM list, as "ip:port".
  std::string key_value_service;
  std::string vm_list;
  /// Peers to ask for the configuration, as "ip:port".
  std::vector<std::string> peers;
  /// Threads that carry I/O.
  std::size_t threads = 2;
  /// How long a process that shuts down says that it is not ready, and still
  /// serves, so that the balancer can notice.
  DurationMs unready_time{3'000};
  /// How long a graceful shutdown may take.
  DurationMs shutdown_grace{30'000};
  /// The file that spans are written to; empty: none.
  std::string trace_file;
  /// The collector that spans are posted to, as "ip:port"; empty: none. At most
  /// one of the two is set.
  std::string trace_collector;
};

/// Settings of a gateway.
struct GatewaySettings {
  DaemonSettings daemon;
  /// Where callers connect.
  ListenAddress listen;
  std::size_t max_body_bytes = 1'048'576;
  /// Chats that run at once, those that wait for an adapter included; a few
  /// more wait in a queue by priority.
  std::size_t max_requests = 10'000;
  /// The deadline of a request that names none.
  DurationMs default_deadline{60'000};
};

/// Settings of a scheduler.
struct SchedulerSettings {
  DaemonSettings daemon;
  /// The cells that this process may lead; empty: all of its region.
  std::vector<CellId> cells;
  /// "weighted" or "naive".
  std::string policy = "weighted";
};

/// Parses settings. All findings are reported together.
Result<GatewaySettings> ParseGatewaySettings(std::string_view text,
                                             const std::string& source);
Result<SchedulerSettings> ParseSchedulerSettings(std::string_view text,
                                                 const std::string& source);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_DAEMON_SETTINGS_H_
