/// \file
/// \brief Keeps prompts that crash engines from being sent, together with the
/// other nodes.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_PROMPT_GUARD_H_
#define YUCCAMOOR_TRANSPORT_FLEET_PROMPT_GUARD_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "yuccamoor/coordination/fleet/prompt_quarantine.h"
#include "yuccamoor/protocol/fleet/peer_messages.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// Takes what exchanges see of their prompts, and tells it to the other nodes.
class PromptGuard {
 public:
  using SendToPeer = std::function<void(const NodeId&, const PeerMessage&)>;
  using Broadcast = std::function<void(const PeerMessage&)>;

  PromptGuard(NodeContext& context, SendToPeer send, Broadcast broadcast);

  /// An engine broke off a prompt with these parts before any output.
  void OnBrokenOff(const EndpointProcess& engine,
                   const std::vector<PromptPartId>& parts);
  /// The first output came for a prompt with these parts.
  void OnOutput(const std::vector<PromptPartId>& parts);
  /// Asks other nodes what is quarantined, once, as soon as any is known:
  /// clients may send prompts from then on.
  void OnNodesChanged();
  /// Another node has told what it knows.
  void OnTellPromptParts(const TellPromptParts& told);

  /// Returns the part because of which prompts with these parts must not be
  /// sent, or nothing if they may be.
  std::optional<QuarantinedPart> FindQuarantined(
      const std::vector<PromptPartId>& parts) const;

  /// Tells the other nodes what is new, and reminds some of them.
  void OnTick(TimeMs now);

 private:
  void Log(const PromptPartNews& news);
  void Remind(TimeMs now);
  /// Sends the message to the next nodes in the order of their names.
  void SendToSome(const TellPromptParts& told);

  NodeContext& m_context;
  SendToPeer m_send;
  Broadcast m_broadcast;
  PromptQuarantine m_quarantine;
  TimeMs m_reminded;
  // The last node that a message went to.
  NodeId m_last_told;
  bool m_has_asked = false;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_PROMPT_GUARD_H_
