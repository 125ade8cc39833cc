/// \file
/// \brief Interface between the decisions about configuration and the bytes
/// that the key-value service and peers hold.

#ifndef YUCCAMOOR_COORDINATION_CONFIG_CONFIG_CODEC_H_
#define YUCCAMOOR_COORDINATION_CONFIG_CONFIG_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "yuccamoor/state/config_records.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// Encodes and decodes configuration records. Equal records have equal bytes.
/// Decoding malformed bytes gives findings and never throws.
class ConfigCodec {
 public:
  virtual ~ConfigCodec() = default;

  virtual std::string EncodeRoot(const RootRecord& root) const = 0;
  virtual Result<RootRecord> DecodeRoot(std::string_view bytes) const = 0;

  virtual std::string EncodeManifest(const Manifest& manifest) const = 0;
  virtual Result<Manifest> DecodeManifest(std::string_view bytes) const = 0;

  /// Encodes an owner's part without its adapters.
  virtual std::string EncodeUnit(const ConfigUnit& unit) const = 0;
  virtual Result<ConfigUnit> DecodeUnit(std::string_view bytes) const = 0;

  /// Encodes adapters in the order given, which must be by id.
  virtual std::string EncodeAdapters(
      const std::vector<AdapterConfig>& adapters) const = 0;
  virtual Result<std::vector<AdapterConfig>> DecodeAdapters(
      std::string_view bytes) const = 0;
};

/// Returns the hash that names the bytes: XXH3, 128 bits. It guards against
/// damage and mix-ups, not against forgery.
SegmentHash HashSegment(std::string_view bytes);

/// Returns the key of the segment or manifest.
std::string SegmentKey(const SegmentHash& hash);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_CONFIG_CONFIG_CODEC_H_
