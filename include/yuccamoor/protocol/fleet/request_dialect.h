/// \file
/// \brief Translates between the headers that clients and endpoints speak and
/// typed values.

#ifndef YUCCAMOOR_PROTOCOL_FLEET_REQUEST_DIALECT_H_
#define YUCCAMOOR_PROTOCOL_FLEET_REQUEST_DIALECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/protocol/fleet/http_head.h"
#include "yuccamoor/protocol/fleet/request_digest.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"
#include "yuccamoor/state/fleet/intake_statement.h"

namespace yuccamoor::fleet {

/// What a client's request says of itself.
struct RequestMeta {
  /// Identifies one attempt of the client.
  RequestId attempt;
  std::optional<AdapterRef> adapter;
  /// How long the client waits.
  std::optional<DurationMs> deadline;
  std::uint32_t prompt_tokens = 0;
  /// The most tokens that the request may generate.
  std::uint32_t max_output_tokens = 0;
  /// Whether the request states its tokens.
  bool states_tokens = false;
  /// The key that names the client's tenant. Empty if the request has none, or
  /// more than one. Secret.
  std::string tenant_key;
  /// The parts of the prompt that other requests may have too.
  std::vector<PromptPartId> shared_parts;
  /// Set by a client that continues a stream.
  std::string last_event_id;
};

/// What the system adds to a request on its way to an endpoint.
struct Forwarding {
  /// The endpoint that the request is meant for; any other refuses it.
  EndpointId endpoint;
  /// What is left of the client's time.
  DurationMs deadline{0};
  /// 0 is the most urgent of 0 to 9.
  std::optional<int> priority;
  /// The adapter's version that must answer; zero if any will do.
  AdapterRevision version;
  /// Continues a stream after this event.
  std::string last_event_id;
  /// Whether clients are identified by tenants' keys: the client's key, and
  /// what it says of its tenant, are dropped.
  bool has_tenants = false;
  /// The client's tenant; empty for a request without one.
  TenantId tenant;
};

/// What an endpoint's response says besides its status and body.
struct ResponseMeta {
  RequestId attempt;
  /// The endpoint states that the request has not run and will not.
  bool not_run = false;
  /// The endpoint's own id, where it says it.
  EndpointId endpoint;
  std::optional<EndpointLoad> load;
  IntakeStatement intake;
  /// The endpoint closes this connection after the response.
  bool closing = false;
  /// How long the connection may stay idle, where the endpoint says it.
  std::optional<DurationMs> idle_timeout;
};

/// A refusal or failure of the system's own.
struct OwnReply {
  int status = 503;
  RequestId attempt;
  /// When the client may come back.
  std::optional<DurationMs> retry_after;
  bool close = false;
};

/// The translation. Stateless.
class RequestDialect {
 public:
  virtual ~RequestDialect() = default;

  virtual RequestMeta DecodeRequest(const HttpHead& head) const = 0;
  /// Returns the digest of the method, path, caller, prompt and body: of all
  /// that stays the same when a client repeats a request.
  virtual RequestDigest Digest(const HttpHead& head,
                               std::string_view body) const = 0;
  /// Returns the whole request as the endpoint gets it. Headers that only the
  /// system may set are dropped from the client's.
  virtual std::string EncodeRequest(const HttpHead& head, std::string_view body,
                                    const Forwarding& forwarding) const = 0;
  virtual ResponseMeta DecodeResponse(const HttpHead& head) const = 0;
  /// Returns the start line and the fields of an endpoint's response for the
  /// client, without framing and without the blank line.
  virtual std::string EncodeResponseHead(const HttpHead& head) const = 0;
  /// Returns a whole response.
  virtual std::string EncodeOwnReply(const OwnReply& reply) const = 0;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_PROTOCOL_FLEET_REQUEST_DIALECT_H_
