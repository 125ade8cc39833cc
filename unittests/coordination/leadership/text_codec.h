/// \file
/// \brief A codec for leadership records in tests: keeps the record itself and
/// hands out its index as the text.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_LEADERSHIP_TEXT_CODEC_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_LEADERSHIP_TEXT_CODEC_H_

#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/coordination/leadership/leadership_record.h"

namespace yuccamoor {

/// Encodes a record as the index at which it is kept.
class TextCodec final : public RecordCodec {
 public:
  std::string Encode(const LeadershipRecord& record) const override {
    m_records.push_back(record);
    return std::to_string(m_records.size() - 1);
  }
  std::optional<LeadershipRecord> Decode(
      const std::string& text) const override {
    const std::size_t index = std::strtoull(text.c_str(), nullptr, 10);
    if (text.empty() || index >= m_records.size()) return std::nullopt;
    return m_records[index];
  }

 private:
  mutable std::vector<LeadershipRecord> m_records;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_LEADERSHIP_TEXT_CODEC_H_
