/// \file
/// \brief How many requests one endpoint takes, as far as this node knows.

#ifndef YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_INTAKE_H_
#define YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_INTAKE_H_

#include <cstdint>
#include <optional>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/intake_statement.h"

namespace yuccamoor::fleet {

/// The requests per second that an endpoint takes from all nodes together.
struct RequestLimit {
  double per_second = 0;
  /// When the endpoint named it last.
  TimeMs named_at;
};

/// What a statement has changed.
enum class LimitChange : std::uint8_t { kNone, kNamed, kChanged, kEnded };

/// The requests that an endpoint takes: by its responses, by what other nodes
/// tell, and by the permits that this node was refused. Ends with the
/// endpoint's process.
class EndpointIntake {
 public:
  /// Applies the statement of a response to a request that was sent at \p sent.
  LimitChange OnStatement(const IntakeStatement& stated, TimeMs sent,
                          TimeMs now);
  /// Another node has learned that the endpoint names a limit, or none any
  /// more. What the endpoint has told this node itself stays.
  LimitChange OnToldLimit(std::optional<double> per_second, TimeMs now);
  /// No permit is to be had before \p until.
  void OnNoPermit(TimeMs until) { m_no_permit_until = until; }

  const std::optional<RequestLimit>& limit() const { return m_limit; }
  /// The endpoint itself wants no request from this node before.
  TimeMs paused_until() const { return m_paused_until; }
  /// The earliest time at which the endpoint takes another request from this
  /// node.
  TimeMs opens_at() const;
  /// How long it takes until then; zero if the endpoint takes a request now.
  DurationMs TimeToOpen(TimeMs now) const;

 private:
  LimitChange SetLimit(double per_second, TimeMs now);
  void EndLimit();

  std::optional<RequestLimit> m_limit;
  TimeMs m_paused_until;
  TimeMs m_no_permit_until;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_COORDINATION_FLEET_ENDPOINT_INTAKE_H_
