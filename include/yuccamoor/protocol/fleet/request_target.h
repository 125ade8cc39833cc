/// \file
/// \brief The targets of requests, built so that no text of others can change
/// their meaning.

#ifndef YUCCAMOOR_PROTOCOL_FLEET_REQUEST_TARGET_H_
#define YUCCAMOOR_PROTOCOL_FLEET_REQUEST_TARGET_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace yuccamoor::fleet {

/// A path with a query, as RFC 3986 writes them. The path's beginning is a
/// literal; whatever else comes in is escaped.
class RequestTarget {
 public:
  template <std::size_t kSize>
  explicit RequestTarget(const char (&path)[kSize]) : m_text(path) {}

  /// Appends a segment to the path, after a slash. There must be no query yet.
  RequestTarget& AddSegment(std::string_view segment);
  /// Appends a field to the query. The value may hold any bytes.
  RequestTarget& AddField(std::string_view name, std::string_view value);

  const std::string& text() const { return m_text; }

 private:
  std::string m_text;
  bool m_has_query = false;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_PROTOCOL_FLEET_REQUEST_TARGET_H_
