/// \file
/// \brief JSON form of calls to the key-value service and of their replies.

#include "yuccamoor/protocol/platform/key_value_codec.h"

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/json_list.h"
#include "yuccamoor/protocol/platform/enum_names.h"

namespace yuccamoor {
namespace {

constexpr std::array<EnumName<KvStatus>, 7> kStatusNames = {{
    {KvStatus::kOk, "ok"},
    {KvStatus::kConflict, "conflict"},
    {KvStatus::kNotFound, "not_found"},
    {KvStatus::kRateLimited, "rate_limited"},
    {KvStatus::kTooLarge, "too_large"},
    {KvStatus::kUnavailable, "unavailable"},
    {KvStatus::kUnknown, "unknown"},
}};

constexpr char kEntries[] = "entries";

// The order is that of KvRequest's alternatives.
constexpr std::array<std::string_view, 7> kOperationNames = {
    "get", "list", "cas", "delete", "watch", "lease_grant", "lease_renew"};
static_assert(kOperationNames.size() == std::variant_size_v<KvRequest>);

/// Fills the fields of each kind of request.
struct RequestWriter {
  Json& json;

  void operator()(const KvGet& r) const { json["key"] = r.key; }
  void operator()(const KvList& r) const { json["prefix"] = r.prefix; }
  void operator()(const KvCompareAndSwap& r) const {
    json["key"] = r.key;
    json["expected"] = r.expected;
    json["value"] = r.value;
    json["lease"] = r.lease;
  }
  void operator()(const KvDelete& r) const {
    json["key"] = r.key;
    json["expected"] = r.expected;
  }
  void operator()(const KvWatch& r) const {
    json["prefix"] = r.prefix;
    json["after"] = r.after;
    json["wait_ms"] = r.wait;
  }
  void operator()(const KvLeaseGrant& r) const { json["ttl_ms"] = r.ttl; }
  void operator()(const KvLeaseRenew& r) const { json["lease"] = r.lease; }
};

KvCompareAndSwap ReadCompareAndSwap(const Json& json) {
  KvCompareAndSwap request;
  request.key = json.at("key").get<std::string>();
  request.expected = json.at("expected").get<KvVersion>();
  request.value = json.at("value").get<std::string>();
  request.lease = KvLease(GetUnsigned(json.value("lease", Json(0U))));
  return request;
}

KvRequest ReadRequest(const Json& json) {
  const auto op = json.at("op").get<std::string>();
  if (op == "get") return KvGet{json.at("key").get<std::string>()};
  if (op == "list") return KvList{json.at("prefix").get<std::string>()};
  if (op == "cas") return ReadCompareAndSwap(json);
  if (op == "delete") {
    return KvDelete{json.at("key").get<std::string>(),
                    json.at("expected").get<KvVersion>()};
  }
  if (op == "watch") {
    return KvWatch{json.at("prefix").get<std::string>(),
                   json.at("after").get<KvVersion>(),
                   json.at("wait_ms").get<DurationMs>()};
  }
  if (op == "lease_grant") {
    return KvLeaseGrant{json.at("ttl_ms").get<DurationMs>()};
  }
  if (op == "lease_renew") {
    return KvLeaseRenew{json.at("lease").get<KvLease>()};
  }
  throw std::invalid_argument("unknown operation: " + op);
}

KvReply ReadReply(const Json& json) {
  KvReply reply;
  reply.status =
      EnumOf<KvStatus>(kStatusNames, json.at("status").get<std::string>());
  reply.version = KvVersion(GetUnsigned(json.value("version", Json(0U))));
  reply.lease = KvLease(GetUnsigned(json.value("lease", Json(0U))));
  return reply;
}

KvEntry ReadEntry(const Json& json) {
  return KvEntry{json.at("key").get<std::string>(),
                 json.at("value").get<std::string>(),
                 json.at("version").get<KvVersion>()};
}

// Returns the entries that can be read; another writer's may not be. Throws if
// there are entries and none can be read: that does not mean that there are
// none.
std::vector<KvEntry> ReadEntries(const std::vector<std::string_view>& items) {
  std::vector<KvEntry> entries;
  for (const std::string_view item : items) {
    try {
      entries.push_back(ReadEntry(ParseUntrusted(item)));
    } catch (const Json::exception&) {
      continue;
    }
  }
  if (entries.empty() && !items.empty()) {
    throw std::invalid_argument("no entry can be read");
  }
  return entries;
}

}  // namespace

std::string EncodeKvRequest(const KvRequest& request) {
  Json json;
  json["op"] = std::string(KvOperationName(request));
  std::visit(RequestWriter{json}, request);
  return json.dump();
}

std::optional<KvRequest> DecodeKvRequest(std::string_view text) {
  try {
    return ReadRequest(Json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeKvReply(const KvReply& reply) {
  Json json;
  json["status"] = NameOf(kStatusNames, reply.status);
  json["version"] = reply.version;
  json["lease"] = reply.lease;
  Json entries = Json::array();
  for (const KvEntry& entry : reply.entries) {
    entries.push_back({{"key", entry.key},
                       {"value", entry.value},
                       {"version", entry.version}});
  }
  json[kEntries] = std::move(entries);
  return json.dump();
}

std::optional<KvReply> DecodeKvReply(std::string_view text) {
  try {
    const auto split = SplitJsonList(text, kEntries);
    const Json json = ParseUntrusted(split ? split->rest : text);
    if (!split && json.contains(kEntries)) return std::nullopt;
    KvReply reply = ReadReply(json);
    if (split) reply.entries = ReadEntries(split->items);
    return reply;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

bool IsKvWrite(const KvRequest& request) {
  return !std::holds_alternative<KvGet>(request) &&
         !std::holds_alternative<KvList>(request) &&
         !std::holds_alternative<KvWatch>(request);
}

std::string_view KvOperationName(const KvRequest& request) {
  return kOperationNames[request.index()];
}

}  // namespace yuccamoor
