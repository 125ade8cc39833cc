/// \file
/// \brief The JSON form of idempotency shard records.

#include "yuccamoor/protocol/request/shard_record_codec.h"

#include <map>
#include <stdexcept>
#include <utility>
#include <vector>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/request/base64.h"

namespace yuccamoor {
namespace {

constexpr int kFormat = 1;

/// The places of an entry's parts in its array.
enum Part : std::size_t {
  kKey,
  kHash,
  kState,
  kOwner,
  kNumber,
  kEnded,
  kStatus,
  kType,
  kBody,
};

Json EncodeEntry(const IdempotencyKey& key, const ShardEntry& entry,
                 std::size_t owner) {
  Json json = Json::array({key.str(), entry.body_hash.value(),
                           static_cast<int>(entry.state), owner,
                           entry.nonce.number, entry.ended.value()});
  if (entry.state != EntryState::kAnswered) return json;
  const StoredAnswer& answer = entry.answer;
  json.push_back(answer.status);
  json.push_back(EncodeBase64(answer.content_type));
  json.push_back(answer.body_kept ? Json(EncodeBase64(answer.body)) : Json());
  return json;
}

Json EncodeSegments(const std::vector<SegmentRef>& segments) {
  Json json = Json::array();
  for (const SegmentRef& ref : segments) {
    json.push_back(Json::array(
        {ref.name.str(), ref.version.value(), ref.generation.value()}));
  }
  return json;
}

std::vector<SegmentRef> DecodeSegments(const Json& json) {
  std::vector<SegmentRef> segments;
  for (const Json& ref : json) {
    segments.push_back({ref.at(0).get<SegmentName>(),
                        ref.at(1).get<KvVersion>(),
                        ref.at(2).get<Generation>()});
  }
  return segments;
}

std::string DecodeBytes(const Json& json) {
  std::optional<std::string> bytes = DecodeBase64(json.get<std::string>());
  if (!bytes) throw Json::other_error::create(501, "base64 expected", &json);
  return *std::move(bytes);
}

EntryState DecodeState(const Json& json) {
  const int state = json.get<int>();
  if (state < 0 || state > static_cast<int>(EntryState::kUnknown)) {
    throw Json::other_error::create(501, "unknown entry state", &json);
  }
  return static_cast<EntryState>(state);
}

ShardEntry DecodeEntry(const Json& json,
                       const std::vector<ShardOwner>& owners) {
  ShardEntry entry;
  entry.body_hash = json.at(kHash).get<BodyHash>();
  entry.state = DecodeState(json.at(kState));
  entry.nonce.owner = owners.at(json.at(kOwner).get<std::size_t>());
  entry.nonce.number = json.at(kNumber).get<std::uint64_t>();
  entry.ended = json.at(kEnded).get<Generation>();
  if (entry.state != EntryState::kAnswered) return entry;
  entry.answer.status = json.at(kStatus).get<int>();
  entry.answer.content_type = DecodeBytes(json.at(kType));
  entry.answer.body_kept = !json.at(kBody).is_null();
  if (entry.answer.body_kept) entry.answer.body = DecodeBytes(json.at(kBody));
  return entry;
}

ShardRecord DecodeRecord(const Json& json) {
  if (json.at("format").get<int>() != kFormat) {
    throw Json::other_error::create(501, "unknown record format", &json);
  }
  std::vector<ShardOwner> owners;
  for (const Json& owner : json.at("owners")) {
    owners.push_back({owner.at(0).get<NodeId>(), owner.at(1).get<Incarnation>(),
                      owner.at(2).get<std::uint64_t>()});
  }
  ShardRecord record;
  record.generation = json.at("generation").get<Generation>();
  for (const Json& entry : json.at("entries")) {
    record.entries.emplace(entry.at(kKey).get<IdempotencyKey>(),
                           DecodeEntry(entry, owners));
  }
  record.segments = DecodeSegments(json.at("segments"));
  record.garbage = DecodeSegments(json.at("garbage"));
  const Json& claim = json.at("claim");
  if (!claim.is_null()) {
    record.claim = AttemptNonce{owners.at(claim.at(0).get<std::size_t>()),
                                claim.at(1).get<std::uint64_t>()};
  }
  return record;
}

/// Numbers the owners in the order of their first use.
class OwnerTable {
 public:
  std::size_t Add(const ShardOwner& owner) {
    const auto [found, added] = m_numbers.emplace(owner, m_numbers.size());
    if (added) {
      m_json.push_back(Json::array(
          {owner.node.str(), owner.incarnation.value(), owner.salt}));
    }
    return found->second;
  }

  const Json& json() const { return m_json; }

 private:
  std::map<ShardOwner, std::size_t> m_numbers;
  Json m_json = Json::array();
};

}  // namespace

std::string JsonShardRecordCodec::Encode(const ShardRecord& record) const {
  OwnerTable owners;
  Json entries = Json::array();
  for (const auto& [key, entry] : record.entries) {
    entries.push_back(EncodeEntry(key, entry, owners.Add(entry.nonce.owner)));
  }
  Json claim;
  if (record.claim) {
    claim =
        Json::array({owners.Add(record.claim->owner), record.claim->number});
  }
  const Json json = {{"format", kFormat},
                     {"generation", record.generation.value()},
                     {"owners", owners.json()},
                     {"entries", std::move(entries)},
                     {"segments", EncodeSegments(record.segments)},
                     {"claim", std::move(claim)},
                     {"garbage", EncodeSegments(record.garbage)}};
  return json.dump();
}

std::optional<ShardRecord> JsonShardRecordCodec::Decode(
    const std::string& value) const {
  try {
    return DecodeRecord(Json::parse(value));
  } catch (const Json::exception&) {
    return std::nullopt;
  } catch (const std::out_of_range&) {
    return std::nullopt;
  }
}

}  // namespace yuccamoor
