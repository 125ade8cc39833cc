/// \file
/// \brief The JSON form of gossip about leaving VMs.

#ifndef YUCCAMOOR_PROTOCOL_REQUEST_LEAVING_GOSSIP_CODEC_H_
#define YUCCAMOOR_PROTOCOL_REQUEST_LEAVING_GOSSIP_CODEC_H_

#include <string_view>

#include "yuccamoor/coordination/request/endpoint_tracker.h"
#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

/// The peer method that carries gossip.
constexpr std::string_view kLeavingGossipMethod = "endpoints.leaving";

void to_json(Json& json, const LeavingGossip& gossip);
void from_json(const Json& json, LeavingGossip& gossip);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_REQUEST_LEAVING_GOSSIP_CODEC_H_
