/// \file
/// \brief The JSON form of gossip about leaving VMs.

#include "yuccamoor/protocol/request/leaving_gossip_codec.h"

namespace yuccamoor {

void to_json(Json& json, const LeavingGossip& gossip) {
  Json leaving = Json::array();
  for (const LeavingVm& entry : gossip.leaving) {
    leaving.push_back({{"vm", entry.vm}, {"age_ms", entry.age}});
  }
  json = {{"from", gossip.from}, {"leaving", std::move(leaving)}};
}

void from_json(const Json& json, LeavingGossip& gossip) {
  json.at("from").get_to(gossip.from);
  gossip.leaving.clear();
  for (const Json& entry : json.at("leaving")) {
    LeavingVm leaving;
    entry.at("vm").get_to(leaving.vm);
    entry.at("age_ms").get_to(leaving.age);
    gossip.leaving.push_back(std::move(leaving));
  }
}

}  // namespace yuccamoor
