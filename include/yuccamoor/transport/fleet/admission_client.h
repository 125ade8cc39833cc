/// \file
/// \brief Asks engines' holders on behalf of this node's requests.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_ADMISSION_CLIENT_H_
#define YUCCAMOOR_TRANSPORT_FLEET_ADMISSION_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "yuccamoor/coordination/fleet/admission_request.h"
#include "yuccamoor/coordination/fleet/endpoint_choice.h"
#include "yuccamoor/protocol/fleet/peer_messages.h"
#include "yuccamoor/transport/fleet/dispatcher.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// A request as an engine's holder has to know it.
struct AdmissionNeeds {
  EndpointQuery query;
  std::uint32_t prompt_tokens = 0;
  int priority = 0;
  /// Empty if the request has none.
  TenantId tenant;
  /// The prompt has to be sent by this time for the request to be on time.
  TimeMs send_by;
};

class AdmissionTicket;

/// The requests of one node that look for an engine.
class AdmissionClient {
 public:
  using SendToPeer = std::function<void(const NodeId&, const PeerMessage&)>;
  /// Called with the step that an answer allows.
  using OnStep = std::function<void(const AdmissionStep&)>;

  AdmissionClient(NodeContext& context, Dispatcher& dispatcher,
                  SendToPeer send);

  /// Begins the search of one request, which ends with the ticket.
  std::unique_ptr<AdmissionTicket> Open(AdmissionNeeds needs, OnStep on_step);

  void OnTellAdmission(const TellAdmission& told);
  void OnLoaded(const TellLoaded& told);

 private:
  friend class AdmissionTicket;

  struct Search {
    AdmissionNeeds needs;
    AdmissionRequest request;
    OnStep on_step;
  };

  AdmissionStep Poll(std::uint64_t number, AdmissionNeeds needs);
  void Close(std::uint64_t number) { m_searches.erase(number); }
  // Whether the engine may receive requests by what this node knows of it.
  bool IsUsable(const EndpointId& engine) const;
  void DropUselessOffer(const AdapterRef& adapter, AdmissionStep& step) const;
  AdmissionAnswer WithoutUnusable(AdmissionAnswer answer) const;
  std::vector<EndpointId> Rank(const EndpointQuery& query) const;
  void SendAsks(std::uint64_t number, const AdmissionNeeds& needs,
                const std::vector<AdmissionAsk>& asks);
  void NoteQuote(const EngineQuote& quote,
                 const std::optional<AdapterRef>& adapter);

  NodeContext& m_context;
  Dispatcher& m_dispatcher;
  SendToPeer m_send;
  std::map<std::uint64_t, Search> m_searches;
  std::uint64_t m_next_number = 0;
};

/// One request's search. Must not outlive the client.
class AdmissionTicket {
 public:
  AdmissionTicket(AdmissionClient& client, std::uint64_t number)
      : m_client(client), m_number(number) {}
  ~AdmissionTicket() { m_client.Close(m_number); }
  AdmissionTicket(const AdmissionTicket&) = delete;
  AdmissionTicket& operator=(const AdmissionTicket&) = delete;

  /// Sends questions that are due, and returns what to do now.
  AdmissionStep Poll(AdmissionNeeds needs) {
    return m_client.Poll(m_number, std::move(needs));
  }
  /// The request's number in messages and in holders' logs.
  std::uint64_t number() const { return m_number; }
  const AdmissionRequest& request() const {
    return m_client.m_searches.at(m_number).request;
  }
  /// Tells the engine's holder that the prompt is sent.
  void OnSent(const EndpointId& engine);

 private:
  AdmissionClient& m_client;
  std::uint64_t m_number;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_ADMISSION_CLIENT_H_
