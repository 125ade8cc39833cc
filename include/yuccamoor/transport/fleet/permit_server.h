/// \file
/// \brief Issues the permits for endpoints that limit their requests.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_PERMIT_SERVER_H_
#define YUCCAMOOR_TRANSPORT_FLEET_PERMIT_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "yuccamoor/coordination/fleet/endpoint_intake.h"
#include "yuccamoor/coordination/fleet/permit_pacer.h"
#include "yuccamoor/protocol/fleet/peer_messages.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// Answers the other nodes and this one for the endpoints whose permits this
/// node issues. Questions for other endpoints are passed on to their issuers,
/// since the asking node may know less of the store. While this node does not
/// know whether it is registered still, another one may issue its permits: it
/// gives no answer then, and those that ask use their own share of the limit.
class PermitServer {
 public:
  using SendToPeer = std::function<void(const NodeId&, const PeerMessage&)>;
  /// Returns whether the store has answered lately.
  using IsStoreFresh = std::function<bool()>;

  PermitServer(NodeContext& context, IsStoreFresh is_store_fresh,
               SendToPeer send);

  void OnAsk(const AskPermit& ask);
  /// Forgets endpoints that nobody has asked for.
  void OnTick(TimeMs now);

 private:
  struct Issued {
    std::uint64_t start_unix_ms = 0;
    RequestLimit limit;
    PermitPacer pacer;
    TimeMs since;
    TimeMs asked;
  };

  bool IsKnown(const EndpointProcess& process) const;
  void Forward(AskPermit ask, const std::optional<NodeId>& issuer);
  void Issue(const AskPermit& ask);
  static double RateOf(const Issued& issued, TimeMs now);
  Issued& IssuedFor(const AskPermit& ask, TimeMs now);

  NodeContext& m_context;
  IsStoreFresh m_is_store_fresh;
  SendToPeer m_send;
  std::map<EndpointId, Issued> m_issued;
  TimeMs m_swept;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_PERMIT_SERVER_H_
