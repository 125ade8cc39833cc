/// \file
/// \brief A record codec that keeps the records it encodes, for tests below the
/// protocol layer.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_INTERNING_CODEC_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_INTERNING_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/coordination/request/idempotency_record.h"

namespace yuccamoor {

/// The value of a record is its number.
class InterningCodec final : public ShardRecordCodec {
 public:
  InterningCodec() = default;
  /// With \p forget_segments, records lose the names of their segments.
  explicit InterningCodec(bool forget_segments)
      : m_forget_segments(forget_segments) {}

  std::string Encode(const ShardRecord& record) const override {
    m_records.push_back(record);
    if (m_forget_segments) m_records.back().segments.clear();
    return std::to_string(m_records.size() - 1);
  }

  std::optional<ShardRecord> Decode(const std::string& value) const override {
    const std::size_t number = std::stoul(value);
    if (number >= m_records.size()) return std::nullopt;
    return m_records[number];
  }

 private:
  bool m_forget_segments = false;
  mutable std::vector<ShardRecord> m_records;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_INTERNING_CODEC_H_
