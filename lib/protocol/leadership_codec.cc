/// \file
/// \brief Implementation of the leadership codec.

#include "yuccamoor/protocol/leadership_codec.h"

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Candidate, id, address, failure_domain)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotKey, worker, target)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UnsettledTerm, leader, incarnation, epoch,
                                   unlisted, evictions)

static void to_json(Json& json, const LeadershipRecord& record) {
  json = Json{{"epoch", record.epoch},
              {"leader", record.leader},
              {"incarnation", record.incarnation},
              {"attempt", record.attempt},
              {"ttl_ms", record.ttl},
              {"released", record.released},
              {"successors", record.successors},
              {"evictions", record.evictions},
              {"last_void_hold", record.last_void_hold},
              {"unsettled", record.unsettled}};
}

static void from_json(const Json& json, LeadershipRecord& record) {
  json.at("epoch").get_to(record.epoch);
  json.at("leader").get_to(record.leader);
  json.at("incarnation").get_to(record.incarnation);
  json.at("attempt").get_to(record.attempt);
  json.at("ttl_ms").get_to(record.ttl);
  json.at("released").get_to(record.released);
  json.at("successors").get_to(record.successors);
  // A record of an earlier release has none of these.
  if (!json.contains("unsettled")) return;
  json.at("evictions").get_to(record.evictions);
  json.at("last_void_hold").get_to(record.last_void_hold);
  json.at("unsettled").get_to(record.unsettled);
}

static void to_json(Json& json, const HoldRequest& request) {
  json = Json{{"cell", request.cell},
              {"from", request.from},
              {"epoch", request.epoch},
              {"number", request.number},
              {"hold_ms", request.hold}};
}

static void from_json(const Json& json, HoldRequest& request) {
  json.at("cell").get_to(request.cell);
  json.at("from").get_to(request.from);
  json.at("epoch").get_to(request.epoch);
  json.at("number").get_to(request.number);
  json.at("hold_ms").get_to(request.hold);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HoldReply, cell, from, epoch, number,
                                   granted)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SettleRequest, cell, to, incarnation, epoch)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SettleReply, cell, from, incarnation, epoch,
                                   settled)

static void to_json(Json& json, const NotLeader& answer) {
  json = Json{{"not_leader", true}, {"leader", answer.leader_address}};
}

static void from_json(const Json& json, NotLeader& answer) {
  if (!json.at("not_leader").get<bool>()) {
    throw Json::other_error::create(501, "not this answer", &json);
  }
  json.at("leader").get_to(answer.leader_address);
}

std::string JsonRecordCodec::Encode(const LeadershipRecord& record) const {
  return Json(record).dump();
}

std::optional<LeadershipRecord> JsonRecordCodec::Decode(
    const std::string& text) const {
  return DecodeJson<LeadershipRecord>(text);
}

std::string EncodeCandidate(const Candidate& candidate) {
  return Json(candidate).dump();
}

std::optional<Candidate> DecodeCandidate(std::string_view text) {
  return DecodeJson<Candidate>(text);
}

std::string EncodeHoldRequest(const HoldRequest& request) {
  return Json(request).dump();
}

std::string EncodeHoldReply(const HoldReply& reply) {
  return Json(reply).dump();
}

Result<HoldRequest> DecodeHoldRequest(std::string_view text) {
  return DecodeMessage<HoldRequest>(text, "hold request");
}

Result<HoldReply> DecodeHoldReply(std::string_view text) {
  return DecodeMessage<HoldReply>(text, "hold reply");
}

std::string EncodeSettleRequest(const SettleRequest& request) {
  return Json(request).dump();
}

std::string EncodeSettleReply(const SettleReply& reply) {
  return Json(reply).dump();
}

Result<SettleRequest> DecodeSettleRequest(std::string_view text) {
  return DecodeMessage<SettleRequest>(text, "settle request");
}

Result<SettleReply> DecodeSettleReply(std::string_view text) {
  return DecodeMessage<SettleReply>(text, "settle reply");
}

std::string EncodeNotLeader(const NotLeader& answer) {
  return Json(answer).dump();
}

std::optional<NotLeader> DecodeNotLeader(std::string_view text) {
  return DecodeJson<NotLeader>(text);
}

}  // namespace yuccamoor
