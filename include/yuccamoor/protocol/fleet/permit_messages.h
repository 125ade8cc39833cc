/// \file
/// \brief Datagrams by which nodes keep to endpoints' limits together, and tell
/// which endpoints leave.

#ifndef YUCCAMOOR_PROTOCOL_FLEET_PERMIT_MESSAGES_H_
#define YUCCAMOOR_PROTOCOL_FLEET_PERMIT_MESSAGES_H_

#include <cstdint>
#include <optional>

#include "yuccamoor/coordination/fleet/permit_pacer.h"
#include "yuccamoor/protocol/json.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// Asks the node that issues an endpoint's permits for one.
struct AskPermit {
  /// The asking node and the question's number there.
  NodeId node;
  std::uint64_t number = 0;
  EndpointProcess process;
  /// The limit as the asking node knows it, and how long ago the endpoint
  /// named it.
  double per_second = 0;
  DurationMs named_ago{0};
  /// How long the request can wait for the permit.
  DurationMs max_wait{0};
  /// Whether a node that knew of a newer issuer has passed the question on.
  bool forwarded = false;
};

/// Answers AskPermit.
struct TellPermit {
  std::uint64_t number = 0;
  PermitDecision decision;
};

/// Tells all nodes that an endpoint names a limit, or none any more.
struct TellLimit {
  EndpointProcess process;
  std::optional<double> per_second;
};

/// Tells all nodes that an endpoint's process is leaving.
struct TellLeaving {
  EndpointProcess process;
};

Json EncodePermitMessage(const AskPermit& ask);
Json EncodePermitMessage(const TellPermit& told);
Json EncodePermitMessage(const TellLimit& told);
Json EncodePermitMessage(const TellLeaving& told);

/// These throw Json::exception for what is no such message.
AskPermit DecodeAskPermit(const Json& json);
TellPermit DecodeTellPermit(const Json& json);
TellLimit DecodeTellLimit(const Json& json);
TellLeaving DecodeTellLeaving(const Json& json);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_PROTOCOL_FLEET_PERMIT_MESSAGES_H_
