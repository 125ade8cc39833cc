/// \file
/// \brief Blocking HTTP/1.1 over loopback sockets, for stand-ins and clients.

#ifndef REVIEW_STANDINS_3_HTTP_H_
#define REVIEW_STANDINS_3_HTTP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Milliseconds of the steady clock.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);

/// A request or a response.
struct Message {
  /// The request line or the status line.
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /// Returns the first field of that name, or an empty text.
  std::string Find(std::string_view name) const;
  bool Has(std::string_view name) const;
  /// Of a request.
  std::string method() const;
  std::string target() const;
  /// Of a response; zero if there is none.
  int status() const;
};

enum class ReadEnd : std::uint8_t {
  kWhole,
  /// The peer closed or reset the connection before the message was whole.
  kBroken,
  kTimeout,
};

/// One connection. Not thread-safe, but Shutdown may be called from any thread.
class Connection {
 public:
  explicit Connection(int fd) : m_fd(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Returns nothing if the connection was not made in time.
  static std::unique_ptr<Connection> Open(const std::string& ip,
                                          std::uint16_t port,
                                          std::int64_t timeout_ms);

  ReadEnd ReadRequest(Message& message, std::int64_t timeout_ms) {
    return Read(message, timeout_ms, false);
  }
  ReadEnd ReadResponse(Message& message, std::int64_t timeout_ms) {
    return Read(message, timeout_ms, true);
  }
  /// Returns false if the peer has closed the connection.
  bool Write(std::string_view bytes);
  /// Waits for the peer to close the connection. Returns whether it did.
  bool WaitForClose(std::int64_t timeout_ms);
  void Shutdown();

 private:
  ReadEnd Read(Message& message, std::int64_t timeout_ms, bool is_response);
  ReadEnd Fill(std::int64_t deadline);
  ReadEnd FillTo(std::size_t size, std::int64_t deadline);
  ReadEnd ReadLine(std::string& line, std::int64_t deadline);
  ReadEnd ReadChunks(std::string& body, std::int64_t deadline);
  ReadEnd ReadToEnd(std::string& body, std::int64_t deadline);

  int m_fd;
  std::string m_in;
};

/// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;

  Server(std::string ip, std::uint16_t port, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return m_port; }
  std::string address() const;
  /// Resets all connections and takes no more.
  void Stop();

 private:
  void Accept();
  void Serve(const std::shared_ptr<Connection>& connection);

  std::string m_ip;
  Handler m_handler;
  int m_fd = -1;
  std::uint16_t m_port = 0;
  std::atomic<bool> m_stopping = false;
  std::mutex m_mutex;
  std::vector<std::weak_ptr<Connection>> m_connections;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

/// Returns a port on which nothing listens at the address.
std::uint16_t FreePort(const std::string& ip);

}  // namespace review

#endif  // REVIEW_STANDINS_3_HTTP_H_
