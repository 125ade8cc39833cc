/// \file
/// \brief Changes of the store as nodes pass them on to each other.

#ifndef YUCCAMOOR_PROTOCOL_FLEET_STORE_CHANGE_CODEC_H_
#define YUCCAMOOR_PROTOCOL_FLEET_STORE_CHANGE_CODEC_H_

#include <cstddef>
#include <vector>

#include "yuccamoor/coordination/fleet/fleet_store.h"
#include "yuccamoor/protocol/json.h"

namespace yuccamoor::fleet {

/// Whether the change can be passed on in a datagram. A configuration cannot:
/// it may be larger.
bool IsPassedOn(const StoreChange& change);

/// Returns about how many bytes EncodeStoreChanges takes for the changes.
std::size_t EncodedSize(const std::vector<StoreChange>& changes);

/// Encodes changes for which IsPassedOn holds, in order.
Json EncodeStoreChanges(const std::vector<StoreChange>& changes);

/// Decodes the same. Throws Json::exception for anything else.
std::vector<StoreChange> DecodeStoreChanges(const Json& json);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_PROTOCOL_FLEET_STORE_CHANGE_CODEC_H_
