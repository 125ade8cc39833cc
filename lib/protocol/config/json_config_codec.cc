/// \file
/// \brief Implementation of the JSON codec of configuration records.

#include "yuccamoor/protocol/config/json_config_codec.h"

#include <algorithm>
#include <cstdint>
#include <functional>

#include "yuccamoor/protocol/config/config_json.h"
#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

/// The version of the records' format.
constexpr int kFormat = 1;

/// Parses the bytes and reads them with \p read; whatever is wrong with them
/// becomes a finding.
template <class T>
Result<T> Decode(std::string_view bytes, const char* what,
                 const std::function<T(const Json&)>& read) {
  auto json = ParseJson(bytes, what);
  if (json.has_error()) return json.error();
  try {
    const int format = json.value().at("format").template get<int>();
    if (format != kFormat) {
      return Findings(Finding{Place{what, "/format", 0, 0},
                              "unknown format " + std::to_string(format),
                              "update this program"});
    }
    return read(json.value());
  } catch (const Json::exception& error) {
    return Findings(
        Finding{Place{what, "", 0, 0}, "malformed record", error.what()});
  }
}

Json EntryToJson(const RootEntry& entry) {
  return Json{{"revision", entry.revision},
              {"manifest", entry.manifest},
              {"publisher", entry.publisher},
              {"nonce", entry.nonce}};
}

RootEntry EntryFromJson(const Json& json) {
  RootEntry entry;
  json.at("revision").get_to(entry.revision);
  json.at("manifest").get_to(entry.manifest);
  json.at("publisher").get_to(entry.publisher);
  json.at("nonce").get_to(entry.nonce);
  return entry;
}

Json ManifestUnitToJson(const ManifestUnit& unit) {
  return Json{{"owner", unit.owner},
              {"digest", unit.digest},
              {"segment", unit.segment},
              {"revision", unit.revision},
              {"publisher", unit.publisher}};
}

ManifestUnit ManifestUnitFromJson(const Json& json) {
  ManifestUnit unit;
  json.at("owner").get_to(unit.owner);
  json.at("digest").get_to(unit.digest);
  json.at("segment").get_to(unit.segment);
  json.at("revision").get_to(unit.revision);
  json.at("publisher").get_to(unit.publisher);
  return unit;
}

/// An adapter as the array [id, cell, owner, priority, version...]: there are
/// many, so that names of members would double their size.
Json AdapterToRow(const AdapterConfig& adapter) {
  Json row = Json::array({adapter.id, adapter.cell, adapter.owner,
                          static_cast<unsigned>(adapter.priority)});
  for (const VersionId& version : adapter.versions) row.push_back(version);
  return row;
}

AdapterConfig AdapterFromRow(const Json& row) {
  constexpr std::size_t kFirstVersion = 4;
  AdapterConfig adapter;
  row.at(0).get_to(adapter.id);
  row.at(1).get_to(adapter.cell);
  row.at(2).get_to(adapter.owner);
  const auto priority = row.at(3).get<unsigned>();
  if (priority > static_cast<unsigned>(Priority::kBackground)) {
    throw Json::other_error::create(501, "unknown priority", &row);
  }
  adapter.priority = static_cast<Priority>(priority);
  adapter.versions.reserve(row.size() - kFirstVersion);
  for (std::size_t i = kFirstVersion; i < row.size(); ++i) {
    adapter.versions.push_back(row[i].get<VersionId>());
  }
  return adapter;
}

template <class Range, class Less>
void RequireSorted(const Range& range, const Json& json, Less less) {
  if (std::is_sorted(range.begin(), range.end(), less)) return;
  throw Json::other_error::create(501, "entries are out of order", &json);
}

}  // namespace

std::string JsonConfigCodec::EncodeRoot(const RootRecord& root) const {
  Json history = Json::array();
  for (const RootEntry& entry : root.history) {
    history.push_back(EntryToJson(entry));
  }
  Json json;
  json["format"] = kFormat;
  json["current"] = EntryToJson(root.current);
  json["history"] = std::move(history);
  json["collections"] = root.collections;
  return json.dump();
}

Result<RootRecord> JsonConfigCodec::DecodeRoot(std::string_view bytes) const {
  return Decode<RootRecord>(bytes, "root record", [](const Json& json) {
    RootRecord root;
    root.current = EntryFromJson(json.at("current"));
    for (const Json& entry : json.at("history")) {
      root.history.push_back(EntryFromJson(entry));
    }
    json.at("collections").get_to(root.collections);
    return root;
  });
}

std::string JsonConfigCodec::EncodeManifest(const Manifest& manifest) const {
  Json units = Json::array();
  for (const ManifestUnit& unit : manifest.units) {
    units.push_back(ManifestUnitToJson(unit));
  }
  Json buckets = Json::array();
  for (const ManifestBucket& bucket : manifest.buckets) {
    buckets.push_back(Json::array({bucket.first_hash, bucket.segment}));
  }
  Json json;
  json["format"] = kFormat;
  json["units"] = std::move(units);
  json["buckets"] = std::move(buckets);
  return json.dump();
}

Result<Manifest> JsonConfigCodec::DecodeManifest(std::string_view bytes) const {
  return Decode<Manifest>(bytes, "manifest", [](const Json& json) {
    Manifest manifest;
    for (const Json& unit : json.at("units")) {
      manifest.units.push_back(ManifestUnitFromJson(unit));
    }
    for (const Json& row : json.at("buckets")) {
      manifest.buckets.push_back(
          {row.at(0).get<std::uint64_t>(), row.at(1).get<SegmentHash>()});
    }
    RequireSorted(manifest.units, json, [](const auto& a, const auto& b) {
      return a.owner < b.owner;
    });
    RequireSorted(manifest.buckets, json, [](const auto& a, const auto& b) {
      return a.first_hash < b.first_hash;
    });
    return manifest;
  });
}

std::string JsonConfigCodec::EncodeUnit(const ConfigUnit& unit) const {
  ConfigUnit bare = unit;
  bare.adapters.clear();
  Json json = UnitToJson(bare);
  json["format"] = kFormat;
  return json.dump();
}

Result<ConfigUnit> JsonConfigCodec::DecodeUnit(std::string_view bytes) const {
  return Decode<ConfigUnit>(bytes, "unit segment", UnitFromJson);
}

std::string JsonConfigCodec::EncodeAdapters(
    const std::vector<AdapterConfig>& adapters) const {
  Json rows = Json::array();
  for (const AdapterConfig& adapter : adapters) {
    rows.push_back(AdapterToRow(adapter));
  }
  Json json;
  json["format"] = kFormat;
  json["adapters"] = std::move(rows);
  return json.dump();
}

Result<std::vector<AdapterConfig>> JsonConfigCodec::DecodeAdapters(
    std::string_view bytes) const {
  using Adapters = std::vector<AdapterConfig>;
  return Decode<Adapters>(bytes, "adapter segment", [](const Json& json) {
    const Json& rows = json.at("adapters");
    Adapters adapters;
    adapters.reserve(rows.size());
    for (const Json& row : rows) adapters.push_back(AdapterFromRow(row));
    RequireSorted(adapters, json,
                  [](const auto& a, const auto& b) { return a.id < b.id; });
    return adapters;
  });
}

}  // namespace yuccamoor
