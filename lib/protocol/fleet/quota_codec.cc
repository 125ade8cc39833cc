#include "yuccamoor/protocol/fleet/quota_codec.h"

#include <cmath>
#include <cstdint>
#include <variant>

#include "yuccamoor/protocol/fleet/message_fields.h"

namespace yuccamoor::fleet {

namespace {

constexpr char kLend[] = "lend_quota";
constexpr char kAccept[] = "accept_quota";
constexpr char kAsk[] = "ask_quota";
constexpr char kTell[] = "quota";

double AmountOf(const Json& json) {
  const auto amount = json.get<double>();
  if (!std::isfinite(amount) || amount < 0) {
    throw Json::other_error::create(501, "amount out of range", &json);
  }
  return amount;
}

Json Encode(const IssuerStamp& stamp) {
  return {{"process", stamp.process}, {"ms", stamp.time.ms()}};
}

IssuerStamp DecodeStamp(const Json& json) {
  return {GetUnsigned(json.at("process")),
          TimeMs(json.at("ms").get<std::int64_t>())};
}

Json Encode(const LendQuota& lend) {
  Json json;
  json["type"] = kLend;
  json["node"] = lend.node.str();
  json["pool"] = lend.pool.value();
  json["number"] = lend.number;
  json["share"] = lend.share;
  json["stamp"] = Encode(lend.stamp);
  return json;
}

Json Encode(const AcceptQuota& accept) {
  Json json;
  json["type"] = kAccept;
  json["issuer"] = accept.issuer.str();
  json["pool"] = accept.pool.value();
  json["number"] = accept.number;
  json["stamp"] = Encode(accept.stamp);
  return json;
}

Json Encode(const AskQuota& ask) {
  Json json;
  json["type"] = kAsk;
  json["node"] = ask.node.str();
  json["number"] = ask.number;
  json["tenant"] = ask.tenant.str();
  json["rate"] = ask.quota.rate_per_second;
  json["burst"] = ask.quota.burst;
  json["version"] = ask.version.value();
  json["amount"] = ask.amount;
  json["waiting"] = ask.waiting;
  json["wanted"] = ask.wanted;
  json["max_wait_ms"] = ask.max_wait.ms();
  return json;
}

Json Encode(const TellQuota& told) {
  Json json;
  json["type"] = kTell;
  json["number"] = told.number;
  json["granted"] = told.granted;
  json["wait_ms"] = told.wait.ms();
  return json;
}

LendQuota DecodeLend(const Json& json) {
  LendQuota lend{json.at("node").get<NodeId>(),
                 QuotaPool(GetUnsigned(json.at("pool"))),
                 GetUnsigned(json.at("number")), AmountOf(json.at("share")),
                 DecodeStamp(json.at("stamp"))};
  if (lend.share > 1 || lend.pool.value() >= kQuotaPools) {
    throw Json::other_error::create(501, "share or pool out of range", &json);
  }
  return lend;
}

AskQuota DecodeAsk(const Json& json) {
  AskQuota ask;
  ask.node = json.at("node").get<NodeId>();
  ask.number = GetUnsigned(json.at("number"));
  ask.tenant = TenantId(json.at("tenant").get<std::string>());
  ask.quota.rate_per_second = AmountOf(json.at("rate"));
  ask.quota.burst = AmountOf(json.at("burst"));
  ask.version = Revision(GetUnsigned(json.at("version")));
  ask.amount = AmountOf(json.at("amount"));
  ask.waiting = AmountOf(json.at("waiting"));
  ask.wanted = AmountOf(json.at("wanted"));
  ask.max_wait = DurationOf(json.at("max_wait_ms"));
  return ask;
}

}  // namespace

Json EncodeQuotaMessage(const QuotaMessage& message) {
  return std::visit([](const auto& item) { return Encode(item); }, message);
}

std::optional<QuotaMessage> DecodeQuotaMessage(const std::string& type,
                                               const Json& json) {
  if (type == kLend) return DecodeLend(json);
  if (type == kAccept) {
    return AcceptQuota{json.at("issuer").get<NodeId>(),
                       QuotaPool(GetUnsigned(json.at("pool"))),
                       GetUnsigned(json.at("number")),
                       DecodeStamp(json.at("stamp"))};
  }
  if (type == kAsk) return DecodeAsk(json);
  if (type == kTell) {
    return TellQuota{GetUnsigned(json.at("number")),
                     AmountOf(json.at("granted")),
                     DurationOf(json.at("wait_ms"))};
  }
  return std::nullopt;
}

}  // namespace yuccamoor::fleet
