/// \file
/// \brief Headers of requests and responses that pass through the proxy.

#ifndef YUCCAMOOR_LIB_TRANSPORT_GATEWAY_PROXY_HEADERS_H_
#define YUCCAMOOR_LIB_TRANSPORT_GATEWAY_PROXY_HEADERS_H_

#include <string>

#include "yuccamoor/transport/http.h"

namespace yuccamoor {

/// Returns the response without what belongs to one connection.
HttpResponse WithoutHopHeaders(HttpResponse response);

/// Returns the request as it is sent on to \p target.
HttpRequest CopyForNextHop(const HttpRequest& request, std::string target);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_LIB_TRANSPORT_GATEWAY_PROXY_HEADERS_H_
