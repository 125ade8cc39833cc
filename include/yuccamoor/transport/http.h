/// \file
/// \brief HTTP messages as plain data, free of Beast's types.

#ifndef YUCCAMOOR_TRANSPORT_HTTP_H_
#define YUCCAMOOR_TRANSPORT_HTTP_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccamoor {

/// Header fields in order. Names compare without regard to case.
class HttpHeaders {
 public:
  using Field = std::pair<std::string, std::string>;

  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<Field> fields) : m_fields(fields) {}

  /// Appends a field.
  void Add(std::string name, std::string value);
  /// Returns the first value of the field, or an empty string.
  std::string_view Find(std::string_view name) const;

  auto begin() const { return m_fields.begin(); }
  auto end() const { return m_fields.end(); }

 private:
  std::vector<Field> m_fields;
};

/// A request. Content-Length, Host and Connection are set by the transport.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

/// A response. Content-Length and Connection are set by the transport, but for
/// "Connection: close", which a handler may set to end the connection.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// Returns a response with a JSON body.
HttpResponse JsonResponse(int status, std::string body);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_HTTP_H_
