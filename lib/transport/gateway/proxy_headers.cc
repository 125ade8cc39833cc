/// \file
/// \brief Implementation of the headers that pass through the proxy.

#include "proxy_headers.h"

#include <string_view>
#include <utility>

#include "yuccamoor/transport/gateway/service_proxy.h"

namespace yuccamoor {
namespace {

/// Headers that belong to one connection or are set anew for each hop.
bool IsHopHeader(std::string_view name) {
  constexpr std::string_view kHopHeaders[] = {
      "Connection",        "Keep-Alive", "Host",        "Content-Length", "TE",
      "Transfer-Encoding", "Upgrade",    "traceparent", kForwardedHeader};
  HttpHeaders probe;
  probe.Add(std::string(name), "x");
  for (const std::string_view hop : kHopHeaders) {
    if (!probe.Find(hop).empty()) return true;
  }
  return false;
}

}  // namespace

HttpResponse WithoutHopHeaders(HttpResponse response) {
  HttpHeaders headers;
  for (const auto& [name, value] : response.headers) {
    if (!IsHopHeader(name)) headers.Add(name, value);
  }
  response.headers = std::move(headers);
  return response;
}

HttpRequest CopyForNextHop(const HttpRequest& request, std::string target) {
  HttpRequest copy;
  copy.method = request.method;
  copy.target = std::move(target);
  copy.body = request.body;
  for (const auto& [name, value] : request.headers) {
    if (!IsHopHeader(name)) copy.headers.Add(name, value);
  }
  return copy;
}

}  // namespace yuccamoor
