/// \file
/// \brief JSON of the messages that pass the configuration on.

#ifndef YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_MESSAGE_CODEC_H_
#define YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_MESSAGE_CODEC_H_

#include <string>
#include <string_view>

#include "yuccamoor/coordination/config/config_messages.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

std::string EncodeConfigAnnounce(const ConfigAnnounce& message);
Result<ConfigAnnounce> DecodeConfigAnnounce(std::string_view text);

std::string EncodeConfigFetch(const ConfigFetch& message);
Result<ConfigFetch> DecodeConfigFetch(std::string_view text);

std::string EncodeConfigBlobs(const ConfigBlobs& message);
Result<ConfigBlobs> DecodeConfigBlobs(std::string_view text);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_CONFIG_CONFIG_MESSAGE_CODEC_H_
