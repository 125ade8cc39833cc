/// \file
/// \brief Keeps this node's requests within the limits that endpoints name.
///
/// An endpoint's limit holds for all nodes together. One node issues the
/// permits for an endpoint, so that a single count decides, however unevenly
/// requests are spread over the nodes and however small the limit is. While
/// that node does not answer, each node sends its own share of the limit.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_PERMIT_CLIENT_H_
#define YUCCAMOOR_TRANSPORT_FLEET_PERMIT_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "yuccamoor/coordination/fleet/permit_pacer.h"
#include "yuccamoor/protocol/fleet/peer_messages.h"
#include "yuccamoor/state/fleet/intake_statement.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

class PermitTicket;

/// The permits that this node's requests need.
class PermitClient {
 public:
  using SendToPeer = std::function<void(const NodeId&, const PeerMessage&)>;
  using Broadcast = std::function<void(const PeerMessage&)>;
  /// Called once, never before Ask returns.
  using OnDecision = std::function<void(const PermitDecision&)>;

  PermitClient(NodeContext& context, SendToPeer send, Broadcast broadcast);

  /// Applies what an endpoint's response states. Its request was sent to this
  /// process at \p sent.
  void OnStatement(const EndpointProcess& process,
                   const IntakeStatement& stated, TimeMs sent);
  /// Asks for a permit to send one request to an endpoint with a limit, free
  /// within \p max_wait. The question ends with the ticket.
  std::unique_ptr<PermitTicket> Ask(const EndpointId& endpoint,
                                    DurationMs max_wait,
                                    OnDecision on_decision);

  void OnTellPermit(const TellPermit& told);
  void OnTellLimit(const TellLimit& told);
  void OnTellLeaving(const TellLeaving& told);
  /// Decides questions that nobody has answered.
  void OnTick(TimeMs now);

 private:
  friend class PermitTicket;

  struct Question {
    EndpointId endpoint;
    DurationMs max_wait{0};
    // Without an answer by then, this node's own share decides.
    TimeMs answer_by;
    OnDecision on_decision;
  };
  // This node's own share of an endpoint's limit.
  struct OwnShare {
    // The issuer is not asked before.
    TimeMs until;
    PermitPacer pacer;
  };

  void Close(std::uint64_t number) { m_questions.erase(number); }
  void Decide(std::uint64_t number, const PermitDecision& decision,
              const char* by);
  PermitDecision DecideByOwnShare(const Question& question, TimeMs now);
  void CountNodes(TimeMs now);
  /// Records that the process is leaving. Returns whether that is news.
  bool NoteLeaving(const EndpointProcess& process, const char* source);
  void LogLimit(const EndpointId& endpoint, LimitChange change,
                const char* source) const;

  NodeContext& m_context;
  SendToPeer m_send;
  Broadcast m_broadcast;
  std::map<std::uint64_t, Question> m_questions;
  std::map<EndpointId, OwnShare> m_own_shares;
  std::uint64_t m_next_number;
  // The nodes that may send, and when they were that many last.
  std::size_t m_nodes = 0;
  TimeMs m_nodes_counted;
};

/// One request's question. Must not outlive the client.
class PermitTicket {
 public:
  PermitTicket(PermitClient& client, std::uint64_t number)
      : m_client(client), m_number(number) {}
  ~PermitTicket() { m_client.Close(m_number); }
  PermitTicket(const PermitTicket&) = delete;
  PermitTicket& operator=(const PermitTicket&) = delete;

 private:
  PermitClient& m_client;
  std::uint64_t m_number;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_PERMIT_CLIENT_H_
