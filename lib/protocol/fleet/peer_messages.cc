#include "yuccamoor/protocol/fleet/peer_messages.h"

#include "yuccamoor/protocol/fleet/adapter_codec.h"
#include "yuccamoor/protocol/fleet/message_fields.h"
#include "yuccamoor/protocol/fleet/quota_codec.h"
#include "yuccamoor/protocol/fleet/store_change_codec.h"
#include "yuccamoor/protocol/json.h"

namespace yuccamoor::fleet {

namespace {

// The receiver sends a message to each of them.
constexpr std::size_t kMaxChoices = 4;

Json EncodeUsed(const UsedAdapters& used) {
  Json json = Json::object();
  for (const auto& [engine, adapters] : used) {
    for (const auto& [adapter, count] : adapters) {
      json[engine.str()][adapter.model.str()][adapter.name] = count;
    }
  }
  return json;
}

UsedAdapters DecodeUsed(const Json& json) {
  UsedAdapters used;
  for (const auto& [engine, models] : json.items()) {
    auto& adapters = used[EndpointId(engine)];
    for (const auto& [adapter, count] : DecodeAdapters(models)) {
      adapters[adapter] = static_cast<std::uint32_t>(count.value());
    }
  }
  return used;
}

Json EncodeInFlight(const std::map<EndpointId, std::uint32_t>& in_flight) {
  Json json = Json::object();
  for (const auto& [endpoint, count] : in_flight) json[endpoint.str()] = count;
  return json;
}

std::map<EndpointId, std::uint32_t> DecodeInFlight(const Json& json) {
  std::map<EndpointId, std::uint32_t> in_flight;
  for (const auto& [endpoint, count] : json.items()) {
    in_flight[EndpointId(endpoint)] = GetUnsigned32(count);
  }
  return in_flight;
}

Json Encode(const NodeStatus& status) {
  Json json;
  json["type"] = "status";
  json["node"] = status.node.str();
  json["fresh"] = status.store.fresh;
  json["nodes"] = status.store.nodes;
  Json& holders = json["holders"] = Json::object();
  for (const auto& [engine, fence] : status.store.holders) {
    holders[engine.str()] = fence.value();
  }
  json["in_flight"] = EncodeInFlight(status.in_flight);
  json["used"] = EncodeUsed(status.used);
  Json& held = json["held"] = Json::object();
  for (const auto& [engine, state] : status.held) {
    Json& item = held[engine.str()];
    item["ordering"] = state.ordering;
    item["loading"] = state.loading;
    item["waiting"] = state.waiting;
    item["adapters"] = EncodeAdapters(state.adapters);
  }
  return json;
}

Json Encode(const AskLoad& ask) {
  Json json;
  json["type"] = "ask_load";
  json["node"] = ask.node.str();
  json["engine"] = ask.engine.str();
  json["adapter"] = ToString(ask.adapter);
  json["version"] = ask.version.value();
  json["priority"] = ask.priority;
  json["demand"] = ask.demand;
  json["on_time_ms"] = ask.on_time.ms();
  return json;
}

Json Encode(const TellQueued& told) {
  Json json;
  json["type"] = "queued";
  json["engine"] = told.engine.str();
  json["adapter"] = ToString(told.adapter);
  json["wait_ms"] = told.wait.ms();
  return json;
}

Json Encode(const TellLoaded& told) {
  Json json;
  json["type"] = "loaded";
  json["engine"] = told.engine.str();
  json["adapter"] = ToString(told.adapter);
  json["version"] = told.version.value();
  return json;
}

Json Encode(const TellMissing& told) {
  Json json;
  json["type"] = "missing";
  json["engine"] = told.engine.str();
  json["adapter"] = ToString(told.adapter);
  return json;
}

Json Encode(const TellRetired& told) {
  Json json;
  json["type"] = "retired";
  json["node"] = told.holder.str();
  json["engine"] = told.engine.str();
  json["adapter"] = ToString(told.adapter);
  return json;
}

Json Encode(const TellInUse& told) {
  Json json;
  json["type"] = "in_use";
  json["engine"] = told.engine.str();
  json["adapter"] = ToString(told.adapter);
  return json;
}

Json Encode(const TellPrompt& told) {
  Json json;
  json["type"] = "prompt";
  json["engine"] = told.engine.str();
  json["tokens"] = told.tokens;
  return json;
}

Json Encode(const TellChanges& told) {
  Json json;
  json["type"] = "changes";
  json["node"] = told.node.str();
  json["after"] = told.after.value();
  json["read"] = told.read.value();
  json["era"] = told.era.value();
  json["complete"] = told.complete;
  json["after_outage"] = told.after_outage;
  json["changes"] = EncodeStoreChanges(told.changes);
  return json;
}

TellChanges DecodeChanges(const Json& json) {
  TellChanges told;
  told.node = json.at("node").get<NodeId>();
  told.after = json.at("after").get<Revision>();
  told.read = json.at("read").get<Revision>();
  told.era = json.at("era").get<StoreEra>();
  told.complete = json.at("complete").get<bool>();
  told.after_outage = json.at("after_outage").get<bool>();
  told.changes = DecodeStoreChanges(json.at("changes"));
  return told;
}

void EncodeId(const AdmissionId& id, Json& json) {
  json["node"] = id.node.str();
  json["number"] = id.number;
}

AdmissionId DecodeId(const Json& json) {
  return {json.at("node").get<NodeId>(), GetUnsigned(json.at("number"))};
}

Json Encode(const AskAdmission& ask) {
  Json json;
  json["type"] = "ask_admission";
  EncodeId(ask.id, json);
  json["engine"] = ask.engine.str();
  json["adapter"] = ToString(ask.adapter);
  json["version"] = ask.version.value();
  json["least_version"] = ask.least_version.value();
  // Earlier releases need the field, and would accept any older version.
  json["accept_older"] = false;
  json["tokens"] = ask.prompt_tokens;
  json["priority"] = ask.priority;
  if (!ask.tenant.empty()) json["tenant"] = ask.tenant.str();
  json["send_within_ms"] = ask.send_within.ms();
  json["demand"] = ask.demand;
  json["ready_within_ms"] = ask.ready_within.ms();
  json["as_home"] = ask.as_home;
  json["enqueue"] = ask.enqueue;
  return json;
}

Json Encode(const TellAdmission& told) {
  const EngineQuote& quote = told.answer.quote;
  Json json;
  json["type"] = "admission";
  json["number"] = told.number;
  json["engine"] = quote.engine.str();
  if (quote.version) json["version"] = quote.version->value();
  if (quote.adapter_wait) json["adapter_wait_ms"] = quote.adapter_wait->ms();
  json["prompt_wait_ms"] = quote.prompt_wait.ms();
  json["requests"] = quote.requests;
  json["loading"] = quote.loading;
  Json& choices = json["choices"] = Json::array();
  for (const EndpointId& engine : told.answer.choices) {
    choices.push_back(engine.str());
  }
  return json;
}

Json Encode(const TellSent& told) {
  Json json;
  json["type"] = "sent";
  EncodeId(told.id, json);
  json["engine"] = told.engine.str();
  json["tokens"] = told.prompt_tokens;
  return json;
}

Json Encode(const TellUse& told) {
  Json json;
  json["type"] = "use";
  json["node"] = told.node.str();
  json["in_flight"] = EncodeInFlight(told.use.in_flight);
  json["used"] = EncodeUsed(told.use.used);
  json["requests_per_second"] = told.requests_per_second;
  return json;
}

Json EncodeSuspect(const CrashSuspect& suspect) {
  Json json;
  json["kind"] = ToText(suspect.kind);
  json["id"] = suspect.id;
  return json;
}
Json Encode(const TellCrashes& told) {
  Json json;
  json["type"] = "crashes";
  json["node"] = told.node.str();
  Json& broken_off = json["broken_off"] = Json::array();
  for (const auto& [endpoint, runs] : told.news.broken_off) {
    Json item;
    item["endpoint"] = endpoint.endpoint.str();
    item["start"] = endpoint.start_unix_ms;
    Json& list = item["runs"] = Json::array();
    for (const BrokenRun& run : runs) {
      list.push_back(EncodeSuspect(run.suspect));
      list.back()["ran_ms"] = run.ran.ms();
      list.back()["request"] = run.request;
    }
    broken_off.push_back(std::move(item));
  }
  Json& cleared = json["cleared"] = Json::array();
  for (const CrashSuspect& suspect : told.news.cleared) {
    cleared.push_back(EncodeSuspect(suspect));
  }
  Json& quarantined = json["quarantined"] = Json::array();
  for (const QuarantinedSuspect& item : told.news.quarantined) {
    quarantined.push_back(EncodeSuspect(item.suspect));
    quarantined.back()["remaining_ms"] = item.remaining.ms();
  }
  json["asks"] = told.asks;
  return json;
}

Json Encode(const AskPermit& ask) { return EncodePermitMessage(ask); }
Json Encode(const TellPermit& told) { return EncodePermitMessage(told); }
Json Encode(const TellLimit& told) { return EncodePermitMessage(told); }
Json Encode(const TellLeaving& told) { return EncodePermitMessage(told); }
Json Encode(const QuotaMessage& message) { return EncodeQuotaMessage(message); }

AskAdmission DecodeAskAdmission(const Json& json) {
  AskAdmission ask;
  ask.id = DecodeId(json);
  ask.engine = json.at("engine").get<EndpointId>();
  ask.adapter = ParseAdapterRef(json.at("adapter").get<std::string>());
  ask.version = json.at("version").get<AdapterRevision>();
  // Earlier releases do not tell which older versions may serve.
  ask.least_version = json.contains("least_version")
                          ? json["least_version"].get<AdapterRevision>()
                          : ask.version;
  ask.prompt_tokens = GetUnsigned32(json.at("tokens"));
  ask.priority = json.at("priority").get<int>();
  if (json.contains("tenant")) ask.tenant = json["tenant"].get<TenantId>();
  ask.send_within = DurationOf(json.at("send_within_ms"));
  ask.demand = GetUnsigned32(json.at("demand"));
  ask.ready_within = DurationOf(json.at("ready_within_ms"));
  ask.as_home = json.at("as_home").get<bool>();
  ask.enqueue = json.at("enqueue").get<bool>();
  return ask;
}

TellAdmission DecodeAdmission(const Json& json) {
  TellAdmission told;
  told.number = GetUnsigned(json.at("number"));
  EngineQuote& quote = told.answer.quote;
  quote.engine = json.at("engine").get<EndpointId>();
  if (json.contains("version")) {
    quote.version = json["version"].get<AdapterRevision>();
  }
  if (json.contains("adapter_wait_ms")) {
    quote.adapter_wait = DurationOf(json["adapter_wait_ms"]);
  }
  quote.prompt_wait = DurationOf(json.at("prompt_wait_ms"));
  quote.requests = GetUnsigned32(json.at("requests"));
  quote.loading = GetUnsigned32(json.at("loading"));
  if (json.at("choices").size() > kMaxChoices) {
    throw Json::other_error::create(501, "too many choices", &json);
  }
  for (const Json& engine : json.at("choices")) {
    told.answer.choices.push_back(engine.get<EndpointId>());
  }
  return told;
}

CrashSuspect DecodeSuspect(const Json& json) {
  CrashSuspect suspect;
  const bool is_request =
      json.at("kind").get<std::string>() == ToText(SuspectKind::kRequest);
  suspect.kind = is_request ? SuspectKind::kRequest : SuspectKind::kPromptPart;
  suspect.id = json.at("id").get<std::string>();
  return suspect;
}
TellCrashes DecodeCrashes(const Json& json) {
  TellCrashes told;
  told.node = json.at("node").get<NodeId>();
  for (const Json& item : json.at("broken_off")) {
    const EndpointProcess endpoint{item.at("endpoint").get<EndpointId>(),
                                   GetUnsigned(item.at("start"))};
    for (const Json& run : item.at("runs")) {
      // Earlier releases do not tell of which request the run was.
      const std::string request = run.value("request", std::string());
      told.news.broken_off[endpoint].push_back(
          {DecodeSuspect(run), DurationOf(run.at("ran_ms")), request});
    }
  }
  for (const Json& suspect : json.at("cleared")) {
    told.news.cleared.push_back(DecodeSuspect(suspect));
  }
  for (const Json& item : json.at("quarantined")) {
    told.news.quarantined.push_back(
        {DecodeSuspect(item), DurationOf(item.at("remaining_ms"))});
  }
  told.asks = json.at("asks").get<bool>();
  return told;
}

TellUse DecodeUse(const Json& json) {
  TellUse told;
  told.node = json.at("node").get<NodeId>();
  told.use.in_flight = DecodeInFlight(json.at("in_flight"));
  told.use.used = DecodeUsed(json.at("used"));
  told.requests_per_second = json.at("requests_per_second").get<double>();
  return told;
}

NodeStatus DecodeStatus(const Json& json) {
  NodeStatus status;
  status.node = NodeId(json.at("node").get<std::string>());
  status.store.fresh = json.at("fresh").get<bool>();
  status.store.nodes = GetUnsigned32(json.at("nodes"));
  for (const auto& [engine, fence] : json.at("holders").items()) {
    status.store.holders[EndpointId(engine)] = Epoch(GetUnsigned(fence));
  }
  status.in_flight = DecodeInFlight(json.at("in_flight"));
  status.used = DecodeUsed(json.at("used"));
  for (const auto& [engine, item] : json.at("held").items()) {
    HeldEngineStatus& held = status.held[EndpointId(engine)];
    held.ordering = item.at("ordering").get<bool>();
    held.loading = GetUnsigned32(item.at("loading"));
    held.waiting = GetUnsigned32(item.at("waiting"));
    held.adapters = DecodeAdapters(item.at("adapters"));
  }
  return status;
}

AdapterRef AdapterOf(const Json& json) {
  return ParseAdapterRef(json.at("adapter").get<std::string>());
}

EndpointId EngineOf(const Json& json) {
  return EndpointId(json.at("engine").get<std::string>());
}

AdapterRevision VersionOf(const Json& json) {
  return AdapterRevision(GetUnsigned(json.at("version")));
}

std::optional<PeerMessage> Decode(const Json& json) {
  const auto type = json.at("type").get<std::string>();
  if (type == "status") return DecodeStatus(json);
  if (type == "changes") return DecodeChanges(json);
  if (type == "ask_admission") return DecodeAskAdmission(json);
  if (type == "admission") return DecodeAdmission(json);
  if (type == "use") return DecodeUse(json);
  if (type == "crashes") return DecodeCrashes(json);
  if (type == "ask_permit") return DecodeAskPermit(json);
  if (type == "permit") return DecodeTellPermit(json);
  if (type == "limit") return DecodeTellLimit(json);
  if (type == "leaving") return DecodeTellLeaving(json);
  if (type == "sent") {
    return TellSent{DecodeId(json), EngineOf(json),
                    GetUnsigned32(json.at("tokens"))};
  }
  if (type == "ask_load") {
    return AskLoad{NodeId(json.at("node").get<std::string>()),
                   EngineOf(json),
                   AdapterOf(json),
                   VersionOf(json),
                   json.at("priority").get<int>(),
                   GetUnsigned32(json.at("demand")),
                   DurationMs(json.at("on_time_ms").get<std::int64_t>())};
  }
  if (type == "queued") {
    return TellQueued{EngineOf(json), AdapterOf(json),
                      DurationMs(json.at("wait_ms").get<std::int64_t>())};
  }
  if (type == "loaded") {
    return TellLoaded{EngineOf(json), AdapterOf(json), VersionOf(json)};
  }
  if (type == "prompt") {
    return TellPrompt{EngineOf(json), GetUnsigned32(json.at("tokens"))};
  }
  if (type == "missing") return TellMissing{EngineOf(json), AdapterOf(json)};
  if (type == "retired") {
    return TellRetired{NodeId(json.at("node").get<std::string>()),
                       EngineOf(json), AdapterOf(json)};
  }
  if (type == "in_use") return TellInUse{EngineOf(json), AdapterOf(json)};
  if (auto quota = DecodeQuotaMessage(type, json)) return *std::move(quota);
  return std::nullopt;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  // Names may hold bytes that are no text.
  return std::visit(
      [](const auto& item) {
        return Encode(item).dump(-1, ' ', false,
                                 Json::error_handler_t::replace);
      },
      message);
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view datagram) {
  try {
    return Decode(ParseUntrusted(datagram));
  } catch (const Json::exception&) {
    // Any sender can reach the port: what is no message is nobody's.
    return std::nullopt;
  }
}

}  // namespace yuccamoor::fleet
