/// \file
/// \brief Conversion between configuration units and JSON.

#include "yuccamoor/protocol/config/config_json.h"

#include <array>
#include <utility>

namespace yuccamoor {
namespace {

constexpr std::array<std::pair<Priority, std::string_view>, 3> kPriorityNames{{
    {Priority::kInteractive, "interactive"},
    {Priority::kNormal, "normal"},
    {Priority::kBackground, "background"},
}};

constexpr std::string_view kRequestsName = "requests";
constexpr std::string_view kTokensName = "tokens";

/// Reads the member into \p value if it is there.
template <class T>
void ReadOptional(const Json& json, const char* name, T& value) {
  const auto it = json.find(name);
  if (it != json.end()) it->get_to(value);
}

const Json& MemberOrEmpty(const Json& json, const char* name) {
  static const Json empty = Json::object();
  const auto it = json.find(name);
  return it == json.end() ? empty : *it;
}

template <class Place>
Json PlaceToJson(const Place& place) {
  Json json{{"address", place.address},
            {"failure_domain", place.failure_domain}};
  if (!place.vm.empty()) json["vm"] = place.vm;
  return json;
}

template <class Place>
Place PlaceFromJson(const std::string& id, const Json& json) {
  Place place;
  place.id = decltype(place.id)(id);
  json.at("address").get_to(place.address);
  json.at("failure_domain").get_to(place.failure_domain);
  ReadOptional(json, "vm", place.vm);
  return place;
}

Json CellToJson(const CellConfig& cell) {
  Json workers = Json::object();
  for (const WorkerConfig& w : cell.workers) {
    workers[w.id.str()] = PlaceToJson(w);
  }
  Json json;
  json["model"] = cell.model;
  json["region"] = cell.region;
  json["workers"] = std::move(workers);
  json["weight_store"] = {{"loads_per_second", cell.store_loads_per_second},
                          {"max_in_flight", cell.store_max_in_flight},
                          {"load_time_ms", cell.load_time}};
  json["engines_check_epoch"] = cell.engines_check_epoch;
  json["objectives"] = {{"load_stalls", cell.weights.load_stalls},
                        {"batch_efficiency", cell.weights.batch_efficiency}};
  return json;
}

CellConfig CellFromJson(const std::string& id, const Json& json) {
  CellConfig cell;
  cell.id = CellId(id);
  json.at("model").get_to(cell.model);
  json.at("region").get_to(cell.region);
  for (const auto& [name, worker] : json.at("workers").items()) {
    cell.workers.push_back(PlaceFromJson<WorkerConfig>(name, worker));
  }
  const Json& store = json.at("weight_store");
  store.at("loads_per_second").get_to(cell.store_loads_per_second);
  ReadOptional(store, "max_in_flight", cell.store_max_in_flight);
  ReadOptional(store, "load_time_ms", cell.load_time);
  ReadOptional(json, "engines_check_epoch", cell.engines_check_epoch);
  const Json& objectives = MemberOrEmpty(json, "objectives");
  ReadOptional(objectives, "load_stalls", cell.weights.load_stalls);
  ReadOptional(objectives, "batch_efficiency", cell.weights.batch_efficiency);
  return cell;
}

Json ServiceToJson(const ServiceConfig& service) {
  Json endpoints = Json::object();
  for (const EndpointConfig& e : service.endpoints) {
    endpoints[e.id.str()] = PlaceToJson(e);
  }
  Json calls = Json::array();
  for (const NonIdempotentCall& call : service.non_idempotent) {
    calls.push_back(
        {{"method", call.method}, {"path_prefix", call.path_prefix}});
  }
  Json json;
  json["endpoints"] = std::move(endpoints);
  json["non_idempotent"] = std::move(calls);
  json["timeout_ms"] = service.timeout;
  json["requests_per_second"] = service.requests_per_second;
  return json;
}

ServiceConfig ServiceFromJson(const std::string& id, const Json& json) {
  ServiceConfig service;
  service.id = ServiceId(id);
  for (const auto& [name, endpoint] : json.at("endpoints").items()) {
    service.endpoints.push_back(PlaceFromJson<EndpointConfig>(name, endpoint));
  }
  const auto calls = json.find("non_idempotent");
  if (calls != json.end()) {
    for (const Json& call : *calls) {
      service.non_idempotent.push_back(
          {call.at("method").get<std::string>(),
           call.at("path_prefix").get<std::string>()});
    }
  }
  ReadOptional(json, "timeout_ms", service.timeout);
  ReadOptional(json, "requests_per_second", service.requests_per_second);
  return service;
}

Json AdapterToJson(const AdapterConfig& adapter) {
  return Json{{"cell", adapter.cell},
              {"versions", adapter.versions},
              {"priority", PriorityName(adapter.priority)}};
}

AdapterConfig AdapterFromJson(const std::string& id, const Json& json) {
  AdapterConfig adapter;
  adapter.id = AdapterId(id);
  json.at("cell").get_to(adapter.cell);
  json.at("versions").get_to(adapter.versions);
  const auto priority = json.find("priority");
  if (priority != json.end()) {
    adapter.priority = PriorityFromName(priority->get<std::string>());
  }
  return adapter;
}

AliasConfig AliasFromJson(const std::string& name, const Json& json) {
  AliasConfig alias;
  alias.name = name;
  for (const auto& [target, weight] : json.items()) {
    alias.targets.push_back(
        {Json(target).get<AdapterVersion>(), weight.get<std::uint32_t>()});
  }
  return alias;
}

Json QuotaToJson(const fleet::QuotaSpec& quota) {
  const bool tokens = quota.unit == fleet::QuotaUnit::kTokens;
  return Json{{"unit", tokens ? kTokensName : kRequestsName},
              {"per_second", quota.rate_per_second},
              {"burst", quota.burst},
              {"plain_tokens", quota.plain_tokens}};
}

fleet::QuotaSpec QuotaFromJson(const Json& json) {
  fleet::QuotaSpec quota;
  std::string unit(kRequestsName);
  ReadOptional(json, "unit", unit);
  quota.unit = QuotaUnitFromName(unit).value_or(quota.unit);
  json.at("per_second").get_to(quota.rate_per_second);
  quota.burst = quota.rate_per_second;
  ReadOptional(json, "burst", quota.burst);
  ReadOptional(json, "plain_tokens", quota.plain_tokens);
  return quota;
}

Json TenantToJson(const TenantConfig& tenant) {
  Json json{{"keys", tenant.keys}};
  if (tenant.priority) json["priority"] = PriorityName(*tenant.priority);
  if (tenant.quota.is_limited()) json["quota"] = QuotaToJson(tenant.quota);
  return json;
}

TenantConfig TenantFromJson(const std::string& id, const Json& json) {
  TenantConfig tenant;
  tenant.id = TenantId(id);
  json.at("keys").get_to(tenant.keys);
  const auto priority = json.find("priority");
  if (priority != json.end()) {
    tenant.priority = PriorityFromName(priority->get<std::string>());
  }
  const auto quota = json.find("quota");
  if (quota != json.end()) tenant.quota = QuotaFromJson(*quota);
  return tenant;
}

}  // namespace

std::string_view PriorityName(Priority priority) {
  for (const auto& [value, name] : kPriorityNames) {
    if (value == priority) return name;
  }
  return "normal";
}

Priority PriorityFromName(std::string_view name) {
  for (const auto& [value, known] : kPriorityNames) {
    if (known == name) return value;
  }
  return Priority::kNormal;
}

std::optional<fleet::QuotaUnit> QuotaUnitFromName(std::string_view name) {
  if (name == kRequestsName) return fleet::QuotaUnit::kRequests;
  if (name == kTokensName) return fleet::QuotaUnit::kTokens;
  return std::nullopt;
}

Json UnitToShow(const ConfigUnit& unit) {
  Json json = UnitToJson(unit);
  if (unit.tenants.empty()) return json;
  for (Json& tenant : json["tenants"]) {
    tenant["keys"] = std::to_string(tenant["keys"].size()) + " keys";
  }
  return json;
}

Json UnitToJson(const ConfigUnit& unit) {
  Json json;
  json["owner"] = unit.owner;
  json["cells"] = Json::object();
  for (const CellConfig& cell : unit.cells) {
    json["cells"][cell.id.str()] = CellToJson(cell);
  }
  json["services"] = Json::object();
  for (const ServiceConfig& service : unit.services) {
    json["services"][service.id.str()] = ServiceToJson(service);
  }
  json["aliases"] = Json::object();
  for (const AliasConfig& alias : unit.aliases) {
    Json& targets = json["aliases"][alias.name] = Json::object();
    for (const AliasTarget& t : alias.targets) {
      targets[Json(t.target).get<std::string>()] = t.weight;
    }
  }
  json["adapters"] = Json::object();
  for (const AdapterConfig& adapter : unit.adapters) {
    json["adapters"][adapter.id.str()] = AdapterToJson(adapter);
  }
  // Parts without tenants keep the bytes, and so the hash, that they had.
  for (const TenantConfig& tenant : unit.tenants) {
    json["tenants"][tenant.id.str()] = TenantToJson(tenant);
  }
  return json;
}

ConfigUnit UnitFromJson(const Json& json) {
  ConfigUnit unit;
  json.at("owner").get_to(unit.owner);
  for (const auto& [id, cell] : MemberOrEmpty(json, "cells").items()) {
    unit.cells.push_back(CellFromJson(id, cell));
  }
  for (const auto& [id, service] : MemberOrEmpty(json, "services").items()) {
    unit.services.push_back(ServiceFromJson(id, service));
  }
  for (const auto& [name, alias] : MemberOrEmpty(json, "aliases").items()) {
    unit.aliases.push_back(AliasFromJson(name, alias));
  }
  for (const auto& [id, adapter] : MemberOrEmpty(json, "adapters").items()) {
    unit.adapters.push_back(AdapterFromJson(id, adapter));
    unit.adapters.back().owner = unit.owner;
  }
  for (const auto& [id, tenant] : MemberOrEmpty(json, "tenants").items()) {
    unit.tenants.push_back(TenantFromJson(id, tenant));
  }
  return unit;
}

}  // namespace yuccamoor
