/// \file
/// \brief Answers requests for admission to the engines that this node holds.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_ADMISSION_SERVER_H_
#define YUCCAMOOR_TRANSPORT_FLEET_ADMISSION_SERVER_H_

#include <functional>
#include <map>

#include "yuccamoor/coordination/fleet/copy_directory.h"
#include "yuccamoor/coordination/fleet/prompt_queue.h"
#include "yuccamoor/protocol/fleet/peer_messages.h"
#include "yuccamoor/transport/fleet/dispatcher.h"
#include "yuccamoor/transport/fleet/engine_holder.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// The prompt queues of the engines held, and the copies of the adapters whose
/// home is one of them.
class AdmissionServer {
 public:
  using SendToPeer = std::function<void(const NodeId&, const PeerMessage&)>;

  AdmissionServer(NodeContext& context, EngineHolder& holder,
                  const Dispatcher& dispatcher, SendToPeer send);

  void OnAsk(const AskAdmission& ask);
  void OnSent(const TellSent& told);
  /// Notes that an engine holds an adapter that this node asked it to load.
  void OnLoaded(const TellLoaded& told);
  /// Admits queued prompts.
  void OnTick(TimeMs now);

 private:
  AdmissionAnswer Answer(const AskAdmission& ask, const Endpoint& engine,
                         TimeMs now);
  void LogAnswer(const AskAdmission& ask, const AdmissionAnswer& answer) const;
  CopyChoice ChooseCopies(const AskAdmission& ask, const Endpoint& engine,
                          bool holds, TimeMs now);
  void AskForCopies(const AskAdmission& ask,
                    const std::vector<EndpointId>& engines);
  /// The least version of its adapter with which the engine serves a request.
  AdapterRevision LeastVersionFor(const AskAdmission& ask,
                                  const Endpoint& engine, TimeMs now) const;
  std::vector<EndpointId> Rank(const AskAdmission& ask) const;

  NodeContext& m_context;
  EngineHolder& m_holder;
  const Dispatcher& m_dispatcher;
  SendToPeer m_send;
  std::map<EndpointId, PromptQueue> m_queues;
  CopyDirectory m_directory;
  TimeMs m_swept;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_ADMISSION_SERVER_H_
