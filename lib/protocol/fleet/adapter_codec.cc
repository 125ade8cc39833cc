#include "yuccamoor/protocol/fleet/adapter_codec.h"

namespace yuccamoor::fleet {

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

}  // namespace yuccamoor::fleet
