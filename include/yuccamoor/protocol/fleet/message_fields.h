/// \file
/// \brief Fields that several of the nodes' messages have.

#ifndef YUCCAMOOR_PROTOCOL_FLEET_MESSAGE_FIELDS_H_
#define YUCCAMOOR_PROTOCOL_FLEET_MESSAGE_FIELDS_H_

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor::fleet {

/// Reads milliseconds. Durations of messages are added to times, so that
/// longer ones than an hour are refused. Throws Json::exception for these.
DurationMs DurationOf(const Json& json);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_PROTOCOL_FLEET_MESSAGE_FIELDS_H_
