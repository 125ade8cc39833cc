/// \file
/// \brief JSON codec of the messages between gateways and a cell's leader.

#ifndef YUCCAMOOR_PROTOCOL_RESIDENCY_CODEC_H_
#define YUCCAMOOR_PROTOCOL_RESIDENCY_CODEC_H_

#include <string>
#include <string_view>

#include "yuccamoor/state/residency.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// Returns the message as the text of one JSON object.
std::string EncodeResidencySync(const ResidencySync& sync);
std::string EncodeResidencyUpdate(const ResidencyUpdate& update);

/// Parses one message. The finding of a failure names the field.
Result<ResidencySync> DecodeResidencySync(std::string_view text);
Result<ResidencyUpdate> DecodeResidencyUpdate(std::string_view text);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_RESIDENCY_CODEC_H_
