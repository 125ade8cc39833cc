/// \file
/// \brief Helpers of the plain HTTP messages.

#include "yuccamoor/transport/http.h"

#include <algorithm>
#include <cctype>

namespace yuccamoor {
namespace {

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

}  // namespace

void HttpHeaders::Add(std::string name, std::string value) {
  m_fields.emplace_back(std::move(name), std::move(value));
}

std::string_view HttpHeaders::Find(std::string_view name) const {
  for (const Field& field : m_fields) {
    if (EqualsIgnoringCase(field.first, name)) return field.second;
  }
  return {};
}

HttpResponse JsonResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

HttpResponse MethodNotAllowed() {
  return JsonResponse(405, R"({"error":"method not allowed"})");
}

}  // namespace yuccamoor
