/// \file
/// \brief The head of an HTTP/1.1 message as plain data.

#ifndef YUCCAMOOR_PROTOCOL_FLEET_HTTP_HEAD_H_
#define YUCCAMOOR_PROTOCOL_FLEET_HTTP_HEAD_H_

#include <string>
#include <string_view>
#include <vector>

namespace yuccamoor::fleet {

/// One header field as it came.
struct HeaderField {
  std::string name;
  std::string value;
};

/// The start line and the header fields of a request or a response.
struct HttpHead {
  std::string method;
  std::string target;
  int status = 0;
  std::vector<HeaderField> fields;

  /// Returns the value of the first field of that name in any case, or an
  /// empty text.
  std::string_view Find(std::string_view name) const;
  /// Returns how many fields have that name in any case.
  std::size_t Count(std::string_view name) const;
};

/// The status of a request whose sender is not known.
inline constexpr int kUnauthorized = 401;
/// The status of a request beyond its sender's quota.
inline constexpr int kTooManyRequests = 429;

/// Whether a response to a request of this project may have the status: 100 to
/// 599 but for 101, as none asks to switch protocols. What follows any other
/// one is not HTTP or cannot be told.
constexpr bool IsResponseStatus(int status) {
  constexpr int kSwitchingProtocols = 101;
  return status >= 100 && status <= 599 && status != kSwitchingProtocols;
}

/// Whether a response with the status comes before another one, which is the
/// answer.
constexpr bool IsInterimStatus(int status) {
  return IsResponseStatus(status) && status <= 199;
}

/// Whether two header names are the same but for case.
bool SameHeaderName(std::string_view a, std::string_view b);

/// Whether the field concerns one connection only and must not be forwarded:
/// the standard ones, and those that the Connection field of \p head names.
bool IsHopByHop(const HttpHead& head, std::string_view name);

/// Appends "name: value" and a line end. The value is of one line whatever it
/// holds: CR, LF and NUL become blanks (RFC 9110, 5.5).
void AppendField(std::string& out, std::string_view name,
                 std::string_view value);

/// Returns the standard reason phrase of a status, or "Status".
std::string_view ReasonPhrase(int status);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_PROTOCOL_FLEET_HTTP_HEAD_H_
