/// \file
/// \brief A caller of streamed answers for the process tests, which can leave
/// in mid-stream and reconnect.

#ifndef YUCCAMOOR_UNITTESTS_PROCESS_STREAM_CALLER_H_
#define YUCCAMOOR_UNITTESTS_PROCESS_STREAM_CALLER_H_

#include <cstddef>
#include <cstdint>
#include <future>
#include <memory>
#include <string>

#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {

/// How one connection ended.
struct StreamPart {
  /// Whether any byte of the request was written.
  bool sent = false;
  int status = 0;
  /// The body of an answer that is no stream.
  std::string error;
  /// The tokens' texts, one after the other.
  std::string text;
  std::string last_id;
  std::size_t tokens = 0;
  /// The closing event came and the body has ended as it should.
  bool whole = false;
};

/// Reads streamed chat answers from a test's own thread.
class StreamCaller {
 public:
  StreamCaller();
  ~StreamCaller();

  /// Asks for an answer of \p tokens tokens, or for the rest of it after
  /// \p last_id. Closes the connection after \p leave_after tokens, if that is
  /// not zero.
  std::future<StreamPart> Start(const std::string& address,
                                const std::string& model,
                                const std::string& text, std::uint32_t tokens,
                                const std::string& last_id = "",
                                std::size_t leave_after = 0);
  /// Waits until the call that was started last has \p tokens tokens or has
  /// ended.
  void AwaitTokens(std::size_t tokens) const;

 private:
  struct Progress;

  WorkerPool m_pool;
  std::unique_ptr<HttpClient> m_client;
  std::shared_ptr<Progress> m_progress;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_PROCESS_STREAM_CALLER_H_
