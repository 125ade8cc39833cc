#include "yuccamoor/protocol/fleet/permit_messages.h"

#include <cmath>

#include "yuccamoor/protocol/fleet/message_fields.h"

namespace yuccamoor::fleet {

namespace {

void EncodeProcess(const EndpointProcess& process, Json& json) {
  json["endpoint"] = process.endpoint.str();
  json["start"] = process.start_unix_ms;
}

EndpointProcess DecodeProcess(const Json& json) {
  return {json.at("endpoint").get<EndpointId>(), GetUnsigned(json.at("start"))};
}

double RateOf(const Json& json) {
  const auto rate = json.get<double>();
  if (!std::isfinite(rate) || rate < 0) {
    throw Json::other_error::create(501, "rate out of range", &json);
  }
  return rate;
}

}  // namespace

Json EncodePermitMessage(const AskPermit& ask) {
  Json json;
  json["type"] = "ask_permit";
  json["node"] = ask.node.str();
  json["number"] = ask.number;
  EncodeProcess(ask.process, json);
  json["per_second"] = ask.per_second;
  json["named_ago_ms"] = ask.named_ago.ms();
  json["max_wait_ms"] = ask.max_wait.ms();
  json["forwarded"] = ask.forwarded;
  return json;
}

Json EncodePermitMessage(const TellPermit& told) {
  Json json;
  json["type"] = "permit";
  json["number"] = told.number;
  json["granted"] = told.decision.granted;
  json["wait_ms"] = told.decision.wait.ms();
  return json;
}

Json EncodePermitMessage(const TellLimit& told) {
  Json json;
  json["type"] = "limit";
  EncodeProcess(told.process, json);
  if (told.per_second) json["per_second"] = *told.per_second;
  return json;
}

Json EncodePermitMessage(const TellLeaving& told) {
  Json json;
  json["type"] = "leaving";
  EncodeProcess(told.process, json);
  return json;
}

AskPermit DecodeAskPermit(const Json& json) {
  AskPermit ask;
  ask.node = json.at("node").get<NodeId>();
  ask.number = GetUnsigned(json.at("number"));
  ask.process = DecodeProcess(json);
  ask.per_second = RateOf(json.at("per_second"));
  ask.named_ago = DurationOf(json.at("named_ago_ms"));
  ask.max_wait = DurationOf(json.at("max_wait_ms"));
  ask.forwarded = json.at("forwarded").get<bool>();
  return ask;
}

TellPermit DecodeTellPermit(const Json& json) {
  TellPermit told;
  told.number = GetUnsigned(json.at("number"));
  told.decision.granted = json.at("granted").get<bool>();
  told.decision.wait = DurationOf(json.at("wait_ms"));
  return told;
}

TellLimit DecodeTellLimit(const Json& json) {
  TellLimit told;
  told.process = DecodeProcess(json);
  if (json.contains("per_second")) told.per_second = RateOf(json["per_second"]);
  return told;
}

TellLeaving DecodeTellLeaving(const Json& json) {
  return {DecodeProcess(json)};
}

}  // namespace yuccamoor::fleet
