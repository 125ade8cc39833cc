/// \file
/// \brief One client's request from its arrival to its end.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_EXCHANGE_H_
#define YUCCAMOOR_TRANSPORT_FLEET_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/coordination/fleet/retry_budgets.h"
#include "yuccamoor/coordination/fleet/route_table.h"
#include "yuccamoor/coordination/quota/tenant_quotas.h"
#include "yuccamoor/protocol/fleet/event_cutter.h"
#include "yuccamoor/transport/fleet/admission_client.h"
#include "yuccamoor/transport/fleet/crash_guard.h"
#include "yuccamoor/transport/fleet/dispatcher.h"
#include "yuccamoor/transport/fleet/endpoint_call.h"
#include "yuccamoor/transport/fleet/front_connection.h"
#include "yuccamoor/transport/fleet/node_context.h"
#include "yuccamoor/transport/fleet/permit_client.h"

namespace yuccamoor::fleet {

/// When to come back to a node that shuts down: other nodes take the request at
/// once.
inline constexpr DurationMs kShutdownRetryAfter{50};

/// What exchanges share.
struct ExchangeContext {
  NodeContext& node;
  Dispatcher& dispatcher;
  AdmissionClient& admissions;
  CrashGuard& crashes;
  PermitClient& permits;
  TenantQuotas& quotas;
  RetryBudgets& retries;
  IdleConnections& idle;
  /// Set while the node shuts down: responses end their connections.
  const bool& closing;
};

/// A request being served: chooses endpoints, repeats what may be repeated,
/// passes the response on. Ends in exactly one of: an endpoint's response
/// passed on, a refusal as not run, or a failure whose outcome is unknown.
class Exchange {
 public:
  /// \p route and \p tenant are of \p routes; \p tenant may be null.
  Exchange(ExchangeContext& context, std::shared_ptr<FrontConnection> client,
           FrontRequest request, std::shared_ptr<const RouteTable> routes,
           const RouteSpec& route, const TenantSpec* tenant);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Returns when a request ends at the latest: its client waits no longer, or
  /// its route wants it kept no longer.
  static TimeMs DeadlineOf(const FrontRequest& request, const RequestMeta& meta,
                           const RouteSpec& route);

  void Start();
  /// Checks time limits, looks again for an endpoint, reads streams.
  void OnTick(TimeMs now);
  /// The client has left.
  void OnClientGone();
  /// The node ends now: the client gets its final answer, unless a stream to it
  /// has begun, which is cut.
  void OnShutdown();
  /// Whether the exchange has ended and can go.
  bool ended() const { return m_ended; }
  const FrontConnection* client() const { return m_client.get(); }

 private:
  enum class Outcome : std::uint8_t { kAnswered, kRefused, kFailed, kGone };

  /// Asks for the request's part of its tenant's quota, and dispatches it then.
  void SeekQuota(TimeMs now);
  void OnQuota(const QuotaDecision& decision);
  /// Dispatches the request if the time of its quota has come.
  void UseQuota(TimeMs now);
  /// Gives back what a request that has ended has not used.
  void EndQuota();
  /// The units of its tenant's quota that the request counts.
  double QuotaUnits() const;
  void Dispatch(TimeMs now);
  /// Sends a request under which endpoints have just crashed, or ends it.
  /// Returns whether it did either.
  bool DispatchSuspect(TimeMs now);
  bool HoldsBack(const EndpointId& endpoint, TimeMs now) const;
  /// Ends a request whose prompt was held back until its client will leave.
  void HoldBack(TimeMs now);
  void Wait(TimeMs now);
  /// Refuses the request if it cannot be served any more when it could be sent
  /// at \p expected at the earliest. Returns whether it was refused.
  bool RefuseIfTooLate(TimeMs expected, const char* reason, TimeMs now);
  void NoteWaiting(TimeMs now);

  /// Asks the engines' holders for admission, in a large fleet.
  void SeekAdmission(TimeMs now);
  AdmissionNeeds MakeNeeds(TimeMs now) const;
  void OnAdmissionStep(const AdmissionStep& step);
  void FollowStep(const AdmissionStep& step, TimeMs now);
  /// Sends the request by what this node knows, as no holder has answered.
  void SendUnadmitted(TimeMs now);
  void StopWaiting(TimeMs now);
  EndpointQuery MakeQuery(TimeMs now) const;
  /// Sends the request to the endpoint, as soon as that takes one more.
  void SendTo(const EndpointId& endpoint, TimeMs now);
  /// Sends the request to an engine that its holder offers, or to another one
  /// if that wants nothing from this node.
  void SendAdmitted(const EndpointId& engine, TimeMs now);
  /// The latest time at which the request is worth sending.
  TimeMs LatestSend(TimeMs now) const;
  /// Asks for a permit to send, free by \p latest.
  void SeekPermit(const EndpointId& endpoint, TimeMs latest, TimeMs now);
  void OnPermit(const PermitDecision& decision);
  /// Handles that no endpoint takes the request before it is worthless. The
  /// next one opens at \p opens_at.
  void OnClosed(TimeMs opens_at, TimeMs now);
  /// Whether the request waits for a permit, or for the time of one.
  bool AwaitsPermit() const { return m_permit || m_permitted_from; }
  /// Sends if the time of a permit has come.
  void UsePermit(TimeMs now);
  /// Whether the endpoint may be sent the request now, by all that this node
  /// knows of it: it is not leaving, reachable, wants requests and holds a
  /// version that may serve.
  bool MayReceive(const Endpoint& target, TimeMs now) const;
  /// Sends the request. Every way of choosing an endpoint ends here, whoever
  /// chose it and when, so this is where it must still be allowed: otherwise,
  /// another endpoint is chosen soon.
  void Send(const Endpoint& target, TimeMs now);
  /// Ends a request whose tenant's key has been removed since it came. Returns
  /// whether it did.
  bool EndIfKeyRemoved();
  void LogSent(const Endpoint& target, TimeMs now) const;
  /// The whole request as what may make endpoints crash.
  CrashSuspect RequestSuspect() const;
  /// What of the request may make endpoints crash: also the parts of its
  /// prompt.
  const std::vector<CrashSuspect>& Suspects();
  /// Ends a request that would crash an endpoint. Returns whether it did.
  bool EndIfQuarantined();
  /// Ends a request that crashed an endpoint, by itself or by a part of its
  /// prompt. Returns whether it did.
  bool EndIfDoubtfulRepeat(TimeMs now);
  /// Reports that the endpoint ended before any output.
  void NoteBrokenOff();
  /// Reports the first output from the endpoint: for the prompt, or an error
  /// for the request.
  void NoteOutput(bool for_prompt);
  /// Whether the request is for an adapter, not for a base model alone.
  bool NamesAdapter() const;
  /// The version that must answer the request that is being sent; zero if
  /// several may.
  AdapterRevision VersionToExpect() const;
  /// Whether the endpoint may have begun to answer the current call.
  bool HasBegun() const;
  /// Ends a call that has not begun although its version's time is over, and
  /// sends the request again where it may be repeated. Returns whether it did.
  bool TakeBackSuperseded(TimeMs now);
  /// Logs the first output if the request's adapter has a newer version than
  /// the one that the request was sent for.
  void LogOlderVersionBegun();
  EndpointProcess Process() const;
  /// Takes up what the response's head states of the requests that the
  /// endpoint takes.
  void NoteIntake();
  void OnProgress();
  void OnAnswering();
  void OnComplete();
  void OnNotRun();
  void OnNotSent();
  void OnBroken();
  void OnSilent(TimeMs now);
  /// Whether an endpoint may have begun to work on the request.
  bool MayHaveRun() const;
  bool MayRepeat() const;
  bool TakesRetry(const char* reason);
  bool Retry(const char* reason);
  void EndCall(bool healthy, bool counts);
  void AbandonCall();

  void PassWhole();
  void ReadStream(TimeMs now);
  void PassEvents();
  /// Whether the call's response is a stream of events and no failure.
  bool CarriesEvents() const;
  /// Handles an event that does not end like a broken connection.
  void OnEndlessEvent();
  void NotePause();
  void FinishStream();
  void StartStream();
  std::string CloseField() const;
  bool Closes() const;

  void Refuse(const char* reason, std::optional<DurationMs> retry_after);
  void RefuseWith(int status, const char* reason,
                  std::optional<DurationMs> retry_after);
  void Fail(int status, const char* reason);
  /// Ends a request that no endpoint can serve any more, by how far it came.
  void GiveUp(const char* reason, std::optional<DurationMs> retry_after);
  void CutStream(const char* reason);
  void OnDeadline();
  void End(Outcome outcome, const char* reason);
  void NoteFirstAnswer();

  DurationMs Held(TimeMs now) const { return now - m_request.received; }
  /// The part of the wait that a client honours.
  DurationMs HonouredRetryAfter(DurationMs wait, TimeMs now) const;
  bool IsIdempotent() const;
  bool ResumesStream() const;

  // From an adapter's arrival to the first event, if no other prompt is ahead.
  static constexpr DurationMs kPrefillTime{120};
  // The same, with other prompts ahead.
  static constexpr DurationMs kFirstEventTime{250};
  // Without an engine whose holder answers for this long, none will load.
  static constexpr DurationMs kNobodyLoadsTime{500};
  static constexpr DurationMs kNobodyRetryAfter{1'500};
  static constexpr DurationMs kNoEndpointRetryAfter{300};
  // A longer wait for a permit is worse than another engine's load.
  static constexpr DurationMs kLongestPermitWait{400};
  // Less time than this is no offer to an endpoint.
  static constexpr DurationMs kShortestOffer{15};

  ExchangeContext& m_context;
  std::shared_ptr<FrontConnection> m_client;
  FrontRequest m_request;
  std::shared_ptr<const RouteTable> m_routes;
  const RouteSpec& m_route;
  RequestMeta m_meta;
  // Empty if the request has none.
  TenantId m_tenant;
  int m_priority;
  QuotaSpec m_quota;
  // Set while the request waits for an answer, by its number.
  std::optional<std::uint64_t> m_quota_question;
  // Set while the request waits for the time of its quota.
  std::optional<TimeMs> m_quota_from;
  std::optional<TimeMs> m_quota_granted;
  // Empty until it is needed: a digest takes its time.
  std::vector<CrashSuspect> m_suspects;
  ServiceId m_service;
  TimeMs m_deadline;
  std::unique_ptr<EndpointCall> m_call;
  std::unique_ptr<AdmissionTicket> m_ticket;
  // A question for a permit to send to m_permit_endpoint.
  std::unique_ptr<PermitTicket> m_permit;
  EndpointId m_permit_endpoint;
  // Set once the permit is granted.
  std::optional<TimeMs> m_permitted_from;
  EndpointId m_endpoint;
  FailureDomainId m_endpoint_domain;
  std::uint64_t m_endpoint_start_unix_ms = 0;
  // The version of the request's adapter that the endpoint was known to hold
  // when the request was sent; zero if that was not known.
  AdapterRevision m_held_version;
  TimeMs m_sent;
  TimeMs m_last_choice;
  TimeMs m_next_choice;
  TimeMs m_last_poll;
  std::vector<EndpointId> m_excluded;
  // Endpoints that may have begun to work on the request.
  std::uint32_t m_runs = 0;
  std::uint32_t m_sends = 0;
  std::optional<TimeMs> m_waiting_since;
  DurationMs m_waited{0};
  DurationMs m_first_answer{0};
  std::optional<TimeMs> m_last_events;
  DurationMs m_longest_pause{0};
  // How long the request had been held when that pause ended.
  DurationMs m_longest_pause_end{0};
  EventCutter m_cutter;
  bool m_stream_started = false;
  // Whether what the current call's head states was taken up.
  bool m_intake_noted = false;
  // Whether the current call has brought output.
  bool m_has_output = false;
  bool m_answered_first = false;
  bool m_client_gone = false;
  bool m_ended = false;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_EXCHANGE_H_
