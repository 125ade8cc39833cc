#include "yuccamoor/transport/fleet/permit_server.h"

#include <utility>

#include "yuccamoor/coordination/fleet/permit_issuer.h"

namespace yuccamoor::fleet {

namespace {

constexpr DurationMs kSweepInterval{1'000};
// Longer than any span over which endpoints count their requests.
constexpr DurationMs kUnaskedTime{30'000};
// An earlier issuer that the store refuses by now may issue for this long.
constexpr DurationMs kTakeOverTime{1'500};
// The part of the limit that a new issuer grants meanwhile.
constexpr double kTakeOverPart = 0.5;

}  // namespace

PermitServer::PermitServer(NodeContext& context, IsStoreFresh is_store_fresh,
                           SendToPeer send)
    : m_context(context),
      m_is_store_fresh(std::move(is_store_fresh)),
      m_send(std::move(send)) {}

bool PermitServer::IsKnown(const EndpointProcess& process) const {
  const Endpoint* endpoint = m_context.view.endpoints().Find(process.endpoint);
  return endpoint && endpoint->entry.start_unix_ms == process.start_unix_ms;
}

PermitServer::Issued& PermitServer::IssuedFor(const AskPermit& ask,
                                              TimeMs now) {
  const EndpointProcess& process = ask.process;
  const RequestLimit told{ask.per_second, now - ask.named_ago};
  const auto [it, is_new] = m_issued.try_emplace(process.endpoint);
  Issued& issued = it->second;
  if (is_new || issued.start_unix_ms != process.start_unix_ms) {
    issued = Issued{process.start_unix_ms, told, PermitPacer(), now, now};
  }
  // Nodes learn of a changed limit one after the other.
  if (told.named_at >= issued.limit.named_at) issued.limit = told;
  issued.asked = now;
  return issued;
}

double PermitServer::RateOf(const Issued& issued, TimeMs now) {
  const double rate = PermitRate(issued.limit.per_second);
  return now - issued.since < kTakeOverTime ? rate * kTakeOverPart : rate;
}

void PermitServer::OnAsk(const AskPermit& ask) {
  if (!m_is_store_fresh() || !IsKnown(ask.process)) {
    m_context.log.Event("permit_not_issued")
        .Text("endpoint", ask.process.endpoint.str())
        .Text("node", ask.node.str());
    return;
  }
  const auto issuer = PermitIssuerOf(m_context.view, ask.process.endpoint);
  if (issuer == m_context.settings.node) {
    Issue(ask);
  } else if (!ask.forwarded) {
    Forward(ask, issuer);
  }
}

void PermitServer::Forward(AskPermit ask, const std::optional<NodeId>& issuer) {
  if (!issuer) return;
  m_context.log.Event("permit_question_forwarded")
      .Text("endpoint", ask.process.endpoint.str())
      .Text("node", ask.node.str())
      .Text("issuer", issuer->str());
  ask.forwarded = true;
  m_send(*issuer, ask);
}

void PermitServer::Issue(const AskPermit& ask) {
  const TimeMs now = m_context.clock.Now();
  const EndpointId& endpoint = ask.process.endpoint;
  Issued& issued = IssuedFor(ask, now);
  const double rate = RateOf(issued, now);
  TellPermit told;
  told.number = ask.number;
  told.decision = issued.pacer.Request(rate, ask.max_wait, now);
  m_context.log.Event("permit_issued")
      .Text("endpoint", endpoint.str())
      .Text("node", ask.node.str())
      .Number("number", ask.number)
      .Real("per_second", rate)
      .Number("granted", told.decision.granted ? 1 : 0)
      .Ms("wait_ms", told.decision.wait);
  // Requests that ask this node for an engine go to another one meanwhile.
  EndpointIntake& intake = m_context.view.endpoints().Find(endpoint)->intake;
  intake.OnToldLimit(ask.per_second, now);
  intake.OnNoPermit(now + issued.pacer.WaitTime(rate, now));
  m_send(ask.node, told);
}

void PermitServer::OnTick(TimeMs now) {
  if (now - m_swept < kSweepInterval) return;
  m_swept = now;
  std::erase_if(m_issued, [now](const auto& item) {
    return now - item.second.asked > kUnaskedTime;
  });
}

}  // namespace yuccamoor::fleet
