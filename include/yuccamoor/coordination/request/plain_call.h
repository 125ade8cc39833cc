/// \file
/// \brief One request to a plain service, from its admission to its outcome.
/// Composes the idempotency shard, the choice of an endpoint and the rule of
/// retries, so that a gateway only carries out steps and reports events.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_PLAIN_CALL_H_
#define YUCCAMOOR_COORDINATION_REQUEST_PLAIN_CALL_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "yuccamoor/coordination/request/idempotency_shard.h"
#include "yuccamoor/coordination/request/outcome.h"
#include "yuccamoor/coordination/request/stream_assembler.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/config_snapshot.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

class EndpointSet;
class RetryBudget;

/// What is known of a request when it arrives.
struct PlainCallSpec {
  RequestId request;
  bool idempotent = true;
  /// The caller's key, for a non-idempotent request.
  IdempotencyKey key;
  BodyHash body_hash;
  std::optional<DurationMs> first_sent_ago;
  TimeMs deadline = TimeMs::Never();
  DurationMs attempt_timeout{10'000};
  std::uint32_t max_attempts = 3;
};

/// Why a call ended without an answer.
enum class CallError : std::uint8_t {
  kNone,
  /// A non-idempotent request came without an idempotency key.
  kMissingKey,
  /// The idempotency shard refused it; `shard` says why.
  kShard,
  /// No endpoint may receive new work.
  kNoEndpoint,
  /// No endpoint was reached, or the endpoint did not run it.
  kNotSent,
  /// It was dispatched and its answer was lost.
  kAnswerLost,
  kDeadline,
  kCallerGone,
};

/// Returns the error's name on the wire.
std::string_view CallErrorName(CallError error);

/// The end of a call.
struct CallEnd {
  Outcome outcome = Outcome::kUnknown;
  CallError error = CallError::kNone;
  std::optional<ShardRefusal> shard;
  /// The answer, from the endpoint or from the shard.
  std::optional<StoredAnswer> answer;
  bool replayed = false;
  DurationMs retry_after;
};

/// Hand the request to the key's shard.
struct BeginKeyStep {
  ShardBegin begin;
};
/// Send the request once to the endpoint. No layer below may send it again.
struct SendStep {
  AttemptNumber attempt;
  EndpointConfig endpoint;
  DurationMs timeout;
};
/// Tell the shard how the request ended.
struct FinishKeyStep {
  IdempotencyKey key;
  Outcome outcome = Outcome::kUnknown;
  StoredAnswer answer;
};
/// Answer the caller. The last step that concerns the caller.
struct EndStep {
  CallEnd end;
};

using PlainStep = std::variant<BeginKeyStep, SendStep, FinishKeyStep, EndStep>;
using PlainSteps = std::vector<PlainStep>;

/// One request. Events of attempts other than the running one are ignored.
class PlainCall {
 public:
  /// The endpoints and the budget outlive the call.
  PlainCall(PlainCallSpec spec, EndpointSet& endpoints, RetryBudget& budget);

  PlainSteps Start(double random, TimeMs now);

  /// The shard's answers.
  PlainSteps OnDispatchRight(double random, TimeMs now);
  PlainSteps OnReplay(const StoredAnswer& answer);
  PlainSteps OnShardRefused(const ShardRefuse& refusal);

  /// The first byte may be written from now on. False: do not write, the time
  /// is up; report OnNotSent.
  bool OnDispatch(AttemptNumber attempt, TimeMs now);
  /// The whole answer came. \p healthy is false if it shows that the endpoint
  /// is in trouble.
  PlainSteps OnAnswer(AttemptNumber attempt, StoredAnswer answer, bool healthy,
                      TimeMs now);
  PlainSteps OnNotSent(AttemptNumber attempt, double random, TimeMs now);
  /// The endpoint said that it did not run the request.
  PlainSteps OnRefused(AttemptNumber attempt, double random, TimeMs now);
  PlainSteps OnLost(AttemptNumber attempt, double random, TimeMs now);

  /// The caller left. An idempotent request ends; another one runs on, so that
  /// its outcome is kept for a repeat.
  PlainSteps OnCallerGone();

  bool Ended() const { return m_ended; }

 private:
  bool IsCurrent(AttemptNumber attempt) const;
  PlainSteps TrySend(double random, TimeMs now);
  PlainSteps AfterFailure(CallError error, double random, TimeMs now);
  PlainSteps End(CallEnd end, StoredAnswer answer);
  Outcome FailedOutcome() const;

  PlainCallSpec m_spec;
  EndpointSet& m_endpoints;
  RetryBudget& m_budget;
  Attempt m_attempt;
  AttemptNumber m_number;
  EndpointId m_endpoint;
  std::vector<EndpointId> m_tried;
  bool m_attempt_running = false;
  /// The shard gave the right to dispatch, and expects the outcome.
  bool m_holds_key = false;
  /// Some attempt may have run the request.
  bool m_may_have_run = false;
  bool m_ended = false;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_PLAIN_CALL_H_
