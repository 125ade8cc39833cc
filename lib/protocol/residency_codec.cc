/// \file
/// \brief Implementation of the residency codec. Field names are short, as
/// these messages make up most of the control traffic.

#include "yuccamoor/protocol/residency_codec.h"

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

static void to_json(Json& json, const ResidencyWant& want) {
  json = Json{{"t", want.target},
              {"p", static_cast<int>(want.priority)},
              {"n", want.waiters},
              {"w", want.oldest_wait},
              {"d", want.shortest_deadline}};
}

static Priority DecodePriority(const Json& json) {
  const int value = json.get<int>();
  if (value < 0 || value > static_cast<int>(Priority::kBackground)) {
    throw Json::out_of_range::create(401, "unknown priority", &json);
  }
  return static_cast<Priority>(value);
}

static void from_json(const Json& json, ResidencyWant& want) {
  json.at("t").get_to(want.target);
  want.priority = DecodePriority(json.at("p"));
  want.waiters = GetUnsigned32(json.at("n"));
  json.at("w").get_to(want.oldest_wait);
  json.at("d").get_to(want.shortest_deadline);
}

static void to_json(Json& json, const ResidencyHolding& holding) {
  json = Json{{"l", holding.lease},
              {"t", holding.target},
              {"w", holding.worker},
              {"i", holding.instance},
              {"r", holding.running}};
}

static void from_json(const Json& json, ResidencyHolding& holding) {
  json.at("l").get_to(holding.lease);
  json.at("t").get_to(holding.target);
  json.at("w").get_to(holding.worker);
  json.at("i").get_to(holding.instance);
  holding.running = GetUnsigned32(json.at("r"));
}

static void to_json(Json& json, const ResidencyGrant& grant) {
  json = Json{{"l", grant.lease},   {"t", grant.target},   {"w", grant.worker},
              {"a", grant.address}, {"i", grant.instance}, {"c", grant.credit}};
}

static void from_json(const Json& json, ResidencyGrant& grant) {
  json.at("l").get_to(grant.lease);
  json.at("t").get_to(grant.target);
  json.at("w").get_to(grant.worker);
  json.at("a").get_to(grant.address);
  json.at("i").get_to(grant.instance);
  grant.credit = GetUnsigned32(json.at("c"));
}

static void to_json(Json& json, const ResidencyRefusal& refusal) {
  json = Json{{"t", refusal.target},
              {"r", static_cast<int>(refusal.reason)},
              {"a", refusal.retry_after}};
}

static void from_json(const Json& json, ResidencyRefusal& refusal) {
  json.at("t").get_to(refusal.target);
  const int reason = json.at("r").get<int>();
  if (reason < 0 || reason > static_cast<int>(RefusalReason::kNotLeader)) {
    throw Json::out_of_range::create(401, "unknown refusal reason", &json);
  }
  refusal.reason = static_cast<RefusalReason>(reason);
  json.at("a").get_to(refusal.retry_after);
}

namespace {

/// Leaves out empty lists, which are the common case.
template <class T>
void PutList(Json& json, const char* name, const std::vector<T>& list) {
  if (!list.empty()) json[name] = list;
}

template <class T>
void GetList(const Json& json, const char* name, std::vector<T>& list) {
  const auto it = json.find(name);
  if (it != json.end()) it->get_to(list);
}

}  // namespace

std::string EncodeResidencySync(const ResidencySync& sync) {
  Json json{{"gateway", sync.gateway}, {"reply_to", sync.reply_to},
            {"inc", sync.incarnation}, {"cell", sync.cell},
            {"epoch", sync.epoch},     {"seq", sync.sequence}};
  if (sync.full) json["full"] = true;
  PutList(json, "wants", sync.wants);
  PutList(json, "holdings", sync.holdings);
  PutList(json, "returns", sync.returns);
  return json.dump();
}

std::string EncodeResidencyUpdate(const ResidencyUpdate& update) {
  Json json{{"cell", update.cell},        {"epoch", update.epoch},
            {"gateway", update.gateway},  {"inc", update.incarnation},
            {"ack", update.acknowledged}, {"ttl", update.session_ttl}};
  if (update.resync) json["resync"] = true;
  PutList(json, "grants", update.grants);
  PutList(json, "recalls", update.recalls);
  PutList(json, "refusals", update.refusals);
  return json.dump();
}

static void from_json(const Json& json, ResidencySync& sync) {
  json.at("gateway").get_to(sync.gateway);
  json.at("reply_to").get_to(sync.reply_to);
  json.at("inc").get_to(sync.incarnation);
  json.at("cell").get_to(sync.cell);
  json.at("epoch").get_to(sync.epoch);
  json.at("seq").get_to(sync.sequence);
  sync.full = json.value("full", false);
  GetList(json, "wants", sync.wants);
  GetList(json, "holdings", sync.holdings);
  GetList(json, "returns", sync.returns);
}

static void from_json(const Json& json, ResidencyUpdate& update) {
  json.at("cell").get_to(update.cell);
  json.at("epoch").get_to(update.epoch);
  json.at("gateway").get_to(update.gateway);
  json.at("inc").get_to(update.incarnation);
  json.at("ack").get_to(update.acknowledged);
  json.at("ttl").get_to(update.session_ttl);
  update.resync = json.value("resync", false);
  GetList(json, "grants", update.grants);
  GetList(json, "recalls", update.recalls);
  GetList(json, "refusals", update.refusals);
}

Result<ResidencySync> DecodeResidencySync(std::string_view text) {
  return DecodeMessage<ResidencySync>(text, "residency sync");
}

Result<ResidencyUpdate> DecodeResidencyUpdate(std::string_view text) {
  return DecodeMessage<ResidencyUpdate>(text, "residency update");
}

}  // namespace yuccamoor
