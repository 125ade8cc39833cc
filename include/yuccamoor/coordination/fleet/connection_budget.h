/// \file
/// \brief Bounds the clients' connections at one address by the descriptors
/// that they take up, and decides which of them is closed for another.

#ifndef YUCCAMOOR_COORDINATION_FLEET_CONNECTION_BUDGET_H_
#define YUCCAMOOR_COORDINATION_FLEET_CONNECTION_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// Names a connection of a client.
enum class ConnectionId : std::uint64_t {};

/// What a connection waits for.
enum class ConnectionPhase : std::uint8_t {
  /// For the first byte of its first request.
  kNew,
  /// For the rest of a request.
  kReceiving,
  /// For this node's answer.
  kServed,
  /// For the client to take what was sent.
  kSending,
  /// For the next request.
  kIdle,
};

struct ConnectionBudgetOptions {
  /// Descriptors for all connections and for the calls made for them.
  std::size_t max_descriptors = 3'000;
  /// Descriptors of a connection that is served, with its call to an endpoint.
  std::size_t served_descriptors = 2;
  /// A client that has moved fewer than progress_bytes for this long is
  /// stalled, if the connection waits for it.
  DurationMs stalled_after{1'000};
  std::size_t progress_bytes = 4'096;
  /// A client that has sent nothing for this long after it connected is silent.
  DurationMs silent_after{250};
};

/// Counts descriptors. Beyond the bound, connections are closed in this order:
/// stalled ones; silent ones; idle ones; all others that are not served. Of
/// equals, the one goes that has waited longest. A connection that is served is
/// never closed.
class ConnectionBudget {
 public:
  explicit ConnectionBudget(const ConnectionBudgetOptions& options = {})
      : m_options(options) {}

  void Add(ConnectionId connection, TimeMs now);
  /// Notes the phase, and the bytes that have come and gone since the
  /// connection began. Without effect on one that is not counted.
  void Set(ConnectionId connection, ConnectionPhase phase, std::uint64_t moved,
           TimeMs now);
  void Remove(ConnectionId connection);
  /// Returns the next connection to close, which is not counted any more;
  /// nothing while the bound is kept, or if all others are served.
  std::optional<ConnectionId> TakeExcess(TimeMs now);

  /// Whether the bound is kept.
  bool IsWithin() const { return m_descriptors <= m_options.max_descriptors; }
  std::size_t connections() const { return m_connections.size(); }

 private:
  struct Open {
    ConnectionPhase phase = ConnectionPhase::kNew;
    TimeMs since;
    // What had moved at the last progress, and its time.
    std::uint64_t progress = 0;
    TimeMs progress_at;
  };

  std::size_t Descriptors(const Open& open) const;
  /// The place in the order.
  int CloseOrder(const Open& open, TimeMs now) const;
  /// Whether \p a is closed rather than \p b.
  bool ComesFirst(const Open& a, const Open& b, TimeMs now) const;

  ConnectionBudgetOptions m_options;
  std::map<ConnectionId, Open> m_connections;
  std::size_t m_descriptors = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_CONNECTION_BUDGET_H_
