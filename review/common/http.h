/// \file
/// \brief Blocking HTTP/1.1 on loopback sockets, for the stand-ins.

#ifndef YUCCAMOOR_REVIEW_COMMON_HTTP_H_
#define YUCCAMOOR_REVIEW_COMMON_HTTP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Milliseconds since the program began.
std::int64_t NowMs();

/// Waits for so many milliseconds.
void SleepMs(std::int64_t ms);

/// A request or a response.
struct Message {
  std::string method;
  std::string target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /// Returns the first value of a header, whatever its case, or an empty text.
  std::string Find(std::string_view name) const;
};

/// How the reading of a message ended.
enum class ReadEnd : std::uint8_t { kWhole, kClosed, kBroken };

/// Reads one message; \p buffer keeps what was read beyond it. With
/// \p head_only, the body stays unread.
ReadEnd ReadMessage(int fd, std::string& buffer, Message& message,
                    bool head_only = false);

/// Writes all bytes; false if the connection has ended.
bool WriteAll(int fd, std::string_view data);

/// Connects to a port on 127.0.0.1; -1 if nobody accepts. Reads end after
/// \p timeout_ms. \p window_bytes bounds what waits to be read, if it is set;
/// segments are then as small as on Ethernet.
int Connect(std::uint16_t port, std::int64_t timeout_ms, int window_bytes = 0);

/// Returns a free port on 127.0.0.1 whose successor is free as well, for TCP
/// and UDP.
std::uint16_t FreePorts();

/// Returns the text of a response with a length.
std::string ResponseText(int status, std::string_view fields,
                         std::string_view body);

/// Accepts connections on a free port of 127.0.0.1 and handles each one in a
/// thread of its own. Closes them at its end.
class Server {
 public:
  using Handler = std::function<void(int fd)>;

  explicit Server(Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return m_port; }
  /// Resets all connections, as a process does that is killed.
  void ResetConnections();
  /// Closes the listening socket: the port resets new connections.
  void StopListening();

 private:
  void Accept();
  void Serve(int fd);

  Handler m_handler;
  int m_listener = -1;
  std::uint16_t m_port = 0;
  std::atomic<bool> m_stopping = false;
  std::mutex m_mutex;
  std::set<int> m_open;
  std::atomic<int> m_running = 0;
  std::thread m_thread;
};

}  // namespace review

#endif  // YUCCAMOOR_REVIEW_COMMON_HTTP_H_
