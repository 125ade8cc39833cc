#include "yuccamoor/protocol/fleet/store_change_codec.h"

#include <cassert>
#include <string>
#include <utility>
#include <variant>

#include "yuccamoor/protocol/fleet/adapter_codec.h"

namespace yuccamoor::fleet {

namespace {

Json Encode(const ConfigWritten& /*change*/) {
  assert(false && "configurations are not passed on");
  return {};
}

Json Encode(const AdapterRevisionPublished& change) {
  return {{"change", "revision"},
          {"adapter", ToString(change.adapter)},
          {"revision", change.revision.value()}};
}

Json Encode(const EndpointWritten& change) {
  const EndpointEntry& entry = change.entry;
  Json json = {{"change", "endpoint"},
               {"id", entry.id.str()},
               {"service", entry.service.str()},
               {"address", entry.address},
               {"domain", entry.domain.str()},
               {"slots", entry.slots},
               {"draining", entry.draining},
               {"start", entry.start_unix_ms},
               {"adapters", EncodeAdapters(entry.adapters)}};
  Json& models = json["models"] = Json::array();
  for (const ModelId& model : entry.models) models.push_back(model.str());
  return json;
}

Json Encode(const EndpointRemoved& change) {
  return {{"change", "endpoint_removed"}, {"id", change.id.str()}};
}

Json Encode(const RecordWritten& change) {
  return {{"change", "record"},
          {"key", change.key},
          {"value", change.value},
          {"revision", change.revision.value()},
          {"era", change.era.value()}};
}

Json Encode(const RecordRemoved& change) {
  return {{"change", "record_removed"}, {"key", change.key}};
}

EndpointEntry DecodeEntry(const Json& json) {
  EndpointEntry entry;
  entry.id = json.at("id").get<EndpointId>();
  entry.service = json.at("service").get<ServiceId>();
  entry.address = json.at("address").get<std::string>();
  entry.domain = json.at("domain").get<FailureDomainId>();
  entry.slots = GetUnsigned32(json.at("slots"));
  entry.draining = json.at("draining").get<bool>();
  entry.start_unix_ms = GetUnsigned(json.at("start"));
  entry.adapters = DecodeAdapters(json.at("adapters"));
  for (const Json& model : json.at("models")) {
    entry.models.push_back(model.get<ModelId>());
  }
  return entry;
}

StoreChange Decode(const Json& json) {
  const auto kind = json.at("change").get<std::string>();
  if (kind == "revision") {
    return AdapterRevisionPublished{
        ParseAdapterRef(json.at("adapter").get<std::string>()),
        json.at("revision").get<AdapterRevision>()};
  }
  if (kind == "endpoint") return EndpointWritten{DecodeEntry(json)};
  if (kind == "endpoint_removed") {
    return EndpointRemoved{json.at("id").get<EndpointId>()};
  }
  if (kind == "record") {
    return RecordWritten{
        json.at("key").get<std::string>(), json.at("value").get<std::string>(),
        json.at("revision").get<Revision>(), json.at("era").get<StoreEra>()};
  }
  if (kind == "record_removed") {
    return RecordRemoved{json.at("key").get<std::string>()};
  }
  // A newer node's change that this one does not know: the whole message is
  // dropped, and the changes are read from the store.
  throw Json::other_error::create(501, "unknown change " + kind, &json);
}

}  // namespace

bool IsPassedOn(const StoreChange& change) {
  return !std::holds_alternative<ConfigWritten>(change);
}

std::size_t EncodedSize(const std::vector<StoreChange>& changes) {
  // Field names and punctuation of one change, and of one adapter.
  constexpr std::size_t kBytesPerChange = 160;
  constexpr std::size_t kBytesPerAdapter = 24;
  std::size_t size = 0;
  for (const StoreChange& change : changes) {
    size += kBytesPerChange;
    if (const auto* written = std::get_if<EndpointWritten>(&change)) {
      size += written->entry.adapters.size() * kBytesPerAdapter;
    }
  }
  return size;
}

Json EncodeStoreChanges(const std::vector<StoreChange>& changes) {
  Json json = Json::array();
  for (const StoreChange& change : changes) {
    json.push_back(
        std::visit([](const auto& item) { return Encode(item); }, change));
  }
  return json;
}

std::vector<StoreChange> DecodeStoreChanges(const Json& json) {
  std::vector<StoreChange> changes;
  for (const Json& item : json) changes.push_back(Decode(item));
  return changes;
}

}  // namespace yuccamoor::fleet
