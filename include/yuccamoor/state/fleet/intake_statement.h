/// \file
/// \brief What an endpoint states in a response about the requests that it
/// takes.

#ifndef YUCCAMOOR_STATE_FLEET_INTAKE_STATEMENT_H_
#define YUCCAMOOR_STATE_FLEET_INTAKE_STATEMENT_H_

#include <optional>

#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// One response's statement. An endpoint repeats it in each response for as
/// long as it holds.
struct IntakeStatement {
  /// Whether the response states a limit, readable or not.
  bool limited = false;
  /// The requests per second that the endpoint takes from all nodes together.
  /// Empty if the response states none, or none that can be read.
  std::optional<double> requests_per_second;
  /// Whether the endpoint is about to shut down.
  bool leaving = false;
  /// How long the endpoint wants no request from the node that it answers.
  std::optional<DurationMs> retry_after;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_STATE_FLEET_INTAKE_STATEMENT_H_
