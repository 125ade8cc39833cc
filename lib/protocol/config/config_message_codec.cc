/// \file
/// \brief Implementation of the JSON of configuration messages.

#include "yuccamoor/protocol/config/config_message_codec.h"

#include <functional>

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

template <class T>
Result<T> Decode(std::string_view text, const char* what,
                 const std::function<T(const Json&)>& read) {
  const auto json = ParseJson(text, what);
  if (json.has_error()) return json.error();
  try {
    return read(json.value());
  } catch (const Json::exception& error) {
    return Findings(
        Finding{Place{what, "", 0, 0}, "malformed message", error.what()});
  }
}

}  // namespace

std::string EncodeConfigAnnounce(const ConfigAnnounce& message) {
  Json json{{"from", message.from},
            {"address", message.address},
            {"failure_domain", message.failure_domain},
            {"revision", message.revision},
            {"manifest", message.manifest}};
  if (message.confirmed_age) json["confirmed_age_ms"] = *message.confirmed_age;
  return json.dump();
}

Result<ConfigAnnounce> DecodeConfigAnnounce(std::string_view text) {
  return Decode<ConfigAnnounce>(text, "config announce", [](const Json& json) {
    ConfigAnnounce message;
    json.at("from").get_to(message.from);
    json.at("address").get_to(message.address);
    json.at("failure_domain").get_to(message.failure_domain);
    json.at("revision").get_to(message.revision);
    json.at("manifest").get_to(message.manifest);
    const auto age = json.find("confirmed_age_ms");
    if (age != json.end()) message.confirmed_age = age->get<DurationMs>();
    return message;
  });
}

std::string EncodeConfigFetch(const ConfigFetch& message) {
  return Json{{"hashes", message.hashes}}.dump();
}

Result<ConfigFetch> DecodeConfigFetch(std::string_view text) {
  return Decode<ConfigFetch>(text, "config fetch", [](const Json& json) {
    ConfigFetch message;
    json.at("hashes").get_to(message.hashes);
    return message;
  });
}

std::string EncodeConfigBlobs(const ConfigBlobs& message) {
  Json blobs = Json::array();
  for (const ConfigBlob& blob : message.blobs) {
    blobs.push_back({{"hash", blob.hash}, {"bytes", blob.bytes}});
  }
  return Json{{"blobs", std::move(blobs)}}.dump();
}

Result<ConfigBlobs> DecodeConfigBlobs(std::string_view text) {
  return Decode<ConfigBlobs>(text, "config blobs", [](const Json& json) {
    ConfigBlobs message;
    for (const Json& blob : json.at("blobs")) {
      message.blobs.push_back({blob.at("hash").get<SegmentHash>(),
                               blob.at("bytes").get<std::string>()});
    }
    return message;
  });
}

}  // namespace yuccamoor
