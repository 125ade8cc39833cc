#include "yuccamoor/transport/fleet/permit_client.h"

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/fleet/permit_issuer.h"
#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

// Some round trips between failure domains, with late wake-ups.
constexpr DurationMs kAnswerTimeout{100};
// After a question without answer, the own share decides for this long.
constexpr DurationMs kOwnShareTime{500};
constexpr DurationMs kUnusedShareTime{5'000};
// Fewer registered nodes count after this time only.
constexpr DurationMs kFewerNodesTime{30'000};

}  // namespace

PermitClient::PermitClient(NodeContext& context, SendToPeer send,
                           Broadcast broadcast)
    : m_context(context),
      m_send(std::move(send)),
      m_broadcast(std::move(broadcast)),
      // Numbers of an earlier process on this VM must not be taken for this
      // one's.
      m_next_number(StableBucketHash(context.settings.node.str()) ^
                    static_cast<std::uint64_t>(context.clock.Now().ms())
                        << 32) {}

void PermitClient::OnStatement(const EndpointProcess& process,
                               const IntakeStatement& stated, TimeMs sent) {
  if (stated.leaving && NoteLeaving(process, "response")) {
    m_broadcast(TellLeaving{process});
  }
  const EndpointId& endpoint = process.endpoint;
  Endpoint* known = m_context.view.endpoints().Find(endpoint);
  if (!known || known->entry.start_unix_ms != process.start_unix_ms) return;
  const TimeMs now = m_context.clock.Now();
  const LimitChange change = known->intake.OnStatement(stated, sent, now);
  LogLimit(endpoint, change, "response");
  if (change != LimitChange::kNamed && change != LimitChange::kEnded) return;
  m_broadcast(TellLimit{process, stated.requests_per_second});
}

void PermitClient::OnTellLimit(const TellLimit& told) {
  const EndpointId& endpoint = told.process.endpoint;
  Endpoint* known = m_context.view.endpoints().Find(endpoint);
  if (!known || known->entry.start_unix_ms != told.process.start_unix_ms) {
    return;
  }
  LogLimit(endpoint,
           known->intake.OnToldLimit(told.per_second, m_context.clock.Now()),
           "node");
}

void PermitClient::OnTellLeaving(const TellLeaving& told) {
  NoteLeaving(told.process, "node");
}

bool PermitClient::NoteLeaving(const EndpointProcess& process,
                               const char* source) {
  const bool is_news =
      m_context.view.endpoints().MarkLeaving(process, m_context.clock.Now());
  if (!is_news) return false;
  m_context.log.Event("endpoint_says_it_leaves")
      .Text("endpoint", process.endpoint.str())
      .Text("source", source);
  return true;
}

void PermitClient::LogLimit(const EndpointId& endpoint, LimitChange change,
                            const char* source) const {
  if (change == LimitChange::kNone) return;
  const Endpoint* known = m_context.view.endpoints().Find(endpoint);
  const auto& limit = known->intake.limit();
  m_context.log.Event(limit ? "endpoint_limited" : "endpoint_limit_ended")
      .Text("endpoint", endpoint.str())
      .Real("per_second", limit ? limit->per_second : 0)
      .Text("source", source);
}

std::unique_ptr<PermitTicket> PermitClient::Ask(const EndpointId& endpoint,
                                                DurationMs max_wait,
                                                OnDecision on_decision) {
  const TimeMs now = m_context.clock.Now();
  const std::uint64_t number = m_next_number++;
  const auto own_share = m_own_shares.find(endpoint);
  const Endpoint* known = m_context.view.endpoints().Find(endpoint);
  std::optional<NodeId> issuer = PermitIssuerOf(m_context.view, endpoint);
  const bool is_silent =
      own_share != m_own_shares.end() && now < own_share->second.until;
  if (!known || !known->intake.limit() || is_silent) issuer.reset();
  m_questions.emplace(
      number, Question{endpoint, max_wait, issuer ? now + kAnswerTimeout : now,
                       std::move(on_decision)});
  if (issuer) {
    const RequestLimit& limit = *known->intake.limit();
    AskPermit ask;
    ask.node = m_context.settings.node;
    ask.number = number;
    ask.process = {endpoint, known->entry.start_unix_ms};
    ask.per_second = limit.per_second;
    ask.named_ago = now - limit.named_at;
    ask.max_wait = max_wait;
    m_send(*issuer, ask);
  }
  return std::make_unique<PermitTicket>(*this, number);
}

void PermitClient::OnTellPermit(const TellPermit& told) {
  const auto it = m_questions.find(told.number);
  if (it == m_questions.end()) return;
  m_own_shares.erase(it->second.endpoint);
  Decide(told.number, told.decision, "issuer");
}

PermitDecision PermitClient::DecideByOwnShare(const Question& question,
                                              TimeMs now) {
  const Endpoint* known = m_context.view.endpoints().Find(question.endpoint);
  // The limit has ended meanwhile, or the endpoint has gone.
  if (!known || !known->intake.limit()) return {true, DurationMs(0)};
  const auto nodes = static_cast<double>(std::max<std::size_t>(m_nodes, 1));
  OwnShare& share = m_own_shares[question.endpoint];
  if (now >= share.until) share.until = now + kOwnShareTime;
  PermitDecision decision =
      share.pacer.Request(PermitRate(known->intake.limit()->per_second) / nodes,
                          question.max_wait, now);
  // The issuer may answer again sooner than the share is free.
  if (!decision.granted) {
    decision.wait = std::min(decision.wait, share.until - now);
  }
  return decision;
}

void PermitClient::Decide(std::uint64_t number, const PermitDecision& decision,
                          const char* by) {
  const auto it = m_questions.find(number);
  const Question question = std::move(it->second);
  m_questions.erase(it);
  m_context.log.Event("permit_decided")
      .Text("endpoint", question.endpoint.str())
      .Number("number", number)
      .Text("by", by)
      .Number("granted", decision.granted ? 1 : 0)
      .Ms("wait_ms", decision.wait);
  Endpoint* known = m_context.view.endpoints().Find(question.endpoint);
  if (!decision.granted) {
    m_context.metrics.permits_refused.Add();
    if (known) {
      known->intake.OnNoPermit(m_context.clock.Now() + decision.wait);
    }
  }
  question.on_decision(decision);
}

// Nodes that are not registered any more may still send: those that the store
// refuses, above all.
void PermitClient::CountNodes(TimeMs now) {
  const std::size_t nodes = m_context.view.nodes().size();
  if (nodes < m_nodes && now - m_nodes_counted < kFewerNodesTime) return;
  m_nodes = nodes;
  m_nodes_counted = now;
}

void PermitClient::OnTick(TimeMs now) {
  CountNodes(now);
  std::vector<std::uint64_t> unanswered;
  for (const auto& [number, question] : m_questions) {
    if (now >= question.answer_by) unanswered.push_back(number);
  }
  for (const std::uint64_t number : unanswered) {
    // An earlier decision may have ended the request.
    const auto it = m_questions.find(number);
    if (it == m_questions.end()) continue;
    Decide(number, DecideByOwnShare(it->second, now), "own share");
  }
  std::erase_if(m_own_shares, [now](const auto& item) {
    return now - item.second.until > kUnusedShareTime;
  });
}

}  // namespace yuccamoor::fleet
