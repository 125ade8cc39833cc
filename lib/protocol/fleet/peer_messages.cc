#include "yuccamoor/protocol/fleet/peer_messages.h"

#include "yuccamoor/protocol/json.h"

namespace yuccamoor::fleet {

namespace {

// Adapters grouped by their model, whose name is long.
Json EncodeAdapters(const AdapterSet& adapters) {
  Json json = Json::object();
  for (const auto& [adapter, version] : adapters) {
    json[adapter.model.str()][adapter.name] = version.value();
  }
  return json;
}

AdapterSet DecodeAdapters(const Json& json) {
  AdapterSet adapters;
  for (const auto& [model, names] : json.items()) {
    for (const auto& [name, version] : names.items()) {
      adapters[AdapterRef{ModelId(model), name}] =
          AdapterRevision(GetUnsigned(version));
    }
  }
  return adapters;
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
  Json& in_flight = json["in_flight"] = Json::object();
  for (const auto& [endpoint, count] : status.in_flight) {
    in_flight[endpoint.str()] = count;
  }
  Json& used = json["used"] = Json::object();
  for (const auto& [engine, adapters] : status.used) {
    for (const auto& [adapter, count] : adapters) {
      used[engine.str()][adapter.model.str()][adapter.name] = count;
    }
  }
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

NodeStatus DecodeStatus(const Json& json) {
  NodeStatus status;
  status.node = NodeId(json.at("node").get<std::string>());
  status.store.fresh = json.at("fresh").get<bool>();
  status.store.nodes = GetUnsigned32(json.at("nodes"));
  for (const auto& [engine, fence] : json.at("holders").items()) {
    status.store.holders[EndpointId(engine)] = Epoch(GetUnsigned(fence));
  }
  for (const auto& [endpoint, count] : json.at("in_flight").items()) {
    status.in_flight[EndpointId(endpoint)] = GetUnsigned32(count);
  }
  for (const auto& [engine, models] : json.at("used").items()) {
    auto& used = status.used[EndpointId(engine)];
    for (const auto& [adapter, count] : DecodeAdapters(models)) {
      used[adapter] = static_cast<std::uint32_t>(count.value());
    }
  }
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
  return std::nullopt;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  return std::visit([](const auto& item) { return Encode(item).dump(); },
                    message);
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view datagram) {
  try {
    return Decode(Json::parse(datagram));
  } catch (const Json::exception&) {
    // Any sender can reach the port: what is no message is nobody's.
    return std::nullopt;
  }
}

}  // namespace yuccamoor::fleet
