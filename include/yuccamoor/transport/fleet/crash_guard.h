/// \file
/// \brief Keeps what crashes endpoints from being sent, together with the other
/// nodes.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_CRASH_GUARD_H_
#define YUCCAMOOR_TRANSPORT_FLEET_CRASH_GUARD_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "yuccamoor/coordination/fleet/crash_quarantine.h"
#include "yuccamoor/protocol/fleet/peer_messages.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// Takes what exchanges see of their runs, and tells it to the other nodes.
class CrashGuard {
 public:
  using SendToPeer = std::function<void(const NodeId&, const PeerMessage&)>;
  using Broadcast = std::function<void(const PeerMessage&)>;

  CrashGuard(NodeContext& context, SendToPeer send, Broadcast broadcast);

  /// An endpoint broke off, before any output, what it had been sent \p ran
  /// before.
  void OnBrokenOff(const EndpointProcess& endpoint,
                   const std::vector<CrashSuspect>& suspects, DurationMs ran);
  /// An endpoint has begun to answer a request with these suspects, or to
  /// answer any if none are given.
  void OnOutput(const EndpointProcess& endpoint,
                const std::vector<CrashSuspect>& suspects);
  /// Asks other nodes what is quarantined, once, as soon as any is known:
  /// clients may send prompts from then on.
  void OnNodesChanged();
  /// Another node has told what it knows.
  void OnTellCrashes(const TellCrashes& told);

  /// What is known here. Empty on most days, so that requests need no look at
  /// what they consist of.
  const CrashQuarantine& quarantine() const { return m_quarantine; }

  /// Tells the other nodes what is new, and reminds some of them.
  void OnTick(TimeMs now);

 private:
  void Log(const CrashNews& news);
  void Remind(TimeMs now);
  /// Sends the message to the next nodes in the order of their names.
  void SendToSome(const TellCrashes& told);

  NodeContext& m_context;
  SendToPeer m_send;
  Broadcast m_broadcast;
  CrashQuarantine m_quarantine;
  // Told at the last tick. Told once more, as datagrams are lost.
  CrashNews m_last_news;
  TimeMs m_reminded;
  // The last node that a message went to.
  NodeId m_last_told;
  bool m_has_asked = false;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_CRASH_GUARD_H_
