/// \file
/// \brief Configuration records as JSON.

#ifndef YUCCAMOOR_PROTOCOL_CONFIG_JSON_CONFIG_CODEC_H_
#define YUCCAMOOR_PROTOCOL_CONFIG_JSON_CONFIG_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "yuccamoor/coordination/config/config_codec.h"

namespace yuccamoor {

/// Encodes records as JSON without white space, with sorted member names.
class JsonConfigCodec final : public ConfigCodec {
 public:
  std::string EncodeRoot(const RootRecord& root) const override;
  Result<RootRecord> DecodeRoot(std::string_view bytes) const override;
  std::string EncodeManifest(const Manifest& manifest) const override;
  Result<Manifest> DecodeManifest(std::string_view bytes) const override;
  std::string EncodeUnit(const ConfigUnit& unit) const override;
  Result<ConfigUnit> DecodeUnit(std::string_view bytes) const override;
  std::string EncodeAdapters(
      const std::vector<AdapterConfig>& adapters) const override;
  Result<std::vector<AdapterConfig>> DecodeAdapters(
      std::string_view bytes) const override;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_CONFIG_JSON_CONFIG_CODEC_H_
