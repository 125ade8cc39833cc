/// \file
/// \brief Sets of adapters as nodes tell them to each other.

#ifndef YUCCAMOOR_PROTOCOL_FLEET_ADAPTER_CODEC_H_
#define YUCCAMOOR_PROTOCOL_FLEET_ADAPTER_CODEC_H_

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/state/fleet/endpoint_entry.h"

namespace yuccamoor::fleet {

/// Encodes adapters grouped by their model, whose name is long.
Json EncodeAdapters(const AdapterSet& adapters);

/// Decodes the same. Throws Json::exception for anything else.
AdapterSet DecodeAdapters(const Json& json);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_PROTOCOL_FLEET_ADAPTER_CODEC_H_
