/// \file
/// \brief A blocking HTTP caller for the process tests.

#ifndef YUCCAMOOR_UNITTESTS_PROCESS_HTTP_CALLER_H_
#define YUCCAMOOR_UNITTESTS_PROCESS_HTTP_CALLER_H_

#include <future>
#include <memory>
#include <string>

#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {

/// Calls servers from a test's own thread.
class HttpCaller {
 public:
  HttpCaller();
  ~HttpCaller();

  /// Starts a call; its reply can be waited for.
  std::future<HttpReply> Start(const std::string& address, HttpRequest request,
                               DurationMs timeout = DurationMs(30'000));
  HttpReply Call(const std::string& address, HttpRequest request,
                 DurationMs timeout = DurationMs(30'000));

  /// Returns the body of a GET, or an empty string.
  std::string Get(const std::string& address, const std::string& target);
  HttpReply Post(const std::string& address, const std::string& target,
                 const std::string& body);

 private:
  WorkerPool m_pool;
  std::unique_ptr<HttpClient> m_client;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_PROCESS_HTTP_CALLER_H_
