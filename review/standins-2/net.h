/// \file
/// \brief Blocking HTTP over loopback for the stand-ins: a server with a thread
/// for each connection, and a client.

#ifndef YUCCAMOOR_REVIEW_STANDINS_2_NET_H_
#define YUCCAMOOR_REVIEW_STANDINS_2_NET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace review {

using SteadyTime = std::chrono::steady_clock::time_point;

inline SteadyTime Now() { return std::chrono::steady_clock::now(); }

/// Milliseconds since the program began.
inline std::int64_t ElapsedMs() {
  static const SteadyTime begin = Now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now() - begin)
      .count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string str() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  ::inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr);
  return raw;
}

inline std::string ToLower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

/// A request or a response.
struct Message {
  std::string method;
  std::string target;
  int status = 0;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Find(const std::string& name) const {
    const auto it = fields.find(ToLower(name));
    return it == fields.end() ? std::string() : it->second;
  }
};

/// A connected socket with a read buffer.
class Connection {
 public:
  explicit Connection(int fd) : m_fd(fd) {
    const int on = 1;
    ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { ::close(m_fd); }

  int fd() const { return m_fd; }

  bool Send(std::string_view data) const {
    while (!data.empty()) {
      const ssize_t n = ::send(m_fd, data.data(), data.size(), MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }

  /// Waits for more bytes until the deadline; false at the end or without any.
  bool ReadMore(SteadyTime deadline) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Now());
    pollfd wait{m_fd, POLLIN, 0};
    const auto ms = std::clamp<std::int64_t>(left.count(), 0, 600'000);
    if (::poll(&wait, 1, static_cast<int>(ms)) <= 0) return false;
    char buffer[16'384];
    const ssize_t n = ::recv(m_fd, buffer, sizeof(buffer), 0);
    if (n <= 0) {
      m_ended = true;
      m_reset = n < 0;
      return false;
    }
    m_in.append(buffer, static_cast<std::size_t>(n));
    return true;
  }

  /// Reads a head and, by its length or in chunks, its body.
  bool ReadMessage(Message& message, SteadyTime deadline) {
    std::size_t end = 0;
    while ((end = m_in.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore(deadline)) return false;
    }
    ParseHead(std::string_view(m_in).substr(0, end), message);
    m_in.erase(0, end + 4);
    m_has_head = true;
    if (message.Find("transfer-encoding") == "chunked") {
      return ReadChunks(message, deadline);
    }
    const auto length = static_cast<std::size_t>(
        std::strtoull(message.Find("content-length").c_str(), nullptr, 10));
    while (m_in.size() < length) {
      if (!ReadMore(deadline)) return false;
    }
    message.body = m_in.substr(0, length);
    m_in.erase(0, length);
    return true;
  }

  /// Whether the peer has closed, seen without waiting.
  bool PeerHasClosed() const {
    char byte = 0;
    const ssize_t n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  bool ended() const { return m_ended; }
  bool was_reset() const { return m_reset; }
  bool has_head() const { return m_has_head; }

 private:
  static void ParseHead(std::string_view head, Message& message) {
    std::size_t line_end = std::min(head.find("\r\n"), head.size());
    const std::string first(head.substr(0, line_end));
    const std::size_t a = first.find(' ');
    const std::size_t b = std::min(first.find(' ', a + 1), first.size());
    if (first.starts_with("HTTP/")) {
      message.status = std::atoi(first.substr(a + 1).c_str());
    } else {
      message.method = first.substr(0, a);
      message.target = first.substr(a + 1, b - a - 1);
    }
    while (line_end < head.size()) {
      head.remove_prefix(line_end + 2);
      line_end = std::min(head.find("\r\n"), head.size());
      const std::string_view line = head.substr(0, line_end);
      const std::size_t colon = std::min(line.find(':'), line.size());
      std::string_view value = line.substr(std::min(colon + 1, line.size()));
      while (value.starts_with(' ')) value.remove_prefix(1);
      message.fields[ToLower(line.substr(0, colon))] = std::string(value);
    }
  }

  bool ReadChunks(Message& message, SteadyTime deadline) {
    for (;;) {
      std::size_t end = 0;
      while ((end = m_in.find("\r\n")) == std::string::npos) {
        if (!ReadMore(deadline)) return false;
      }
      const std::size_t size = std::strtoull(m_in.c_str(), nullptr, 16);
      while (m_in.size() < end + 2 + size + 2) {
        if (!ReadMore(deadline)) return false;
      }
      message.body += m_in.substr(end + 2, size);
      m_in.erase(0, end + 2 + size + 2);
      if (size == 0) return true;
    }
  }

  int m_fd;
  std::string m_in;
  bool m_ended = false;
  bool m_reset = false;
  bool m_has_head = false;
};

/// Returns a connection, or null if there is none by the deadline.
inline std::unique_ptr<Connection> Connect(const Address& address,
                                           std::int64_t timeout_ms) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  timeval limit{};
  limit.tv_sec = static_cast<time_t>(timeout_ms / 1'000);
  limit.tv_usec = static_cast<suseconds_t>(timeout_ms % 1'000 * 1'000);
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in raw = ToSockaddr(address);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) !=
      0) {
    ::close(fd);
    return nullptr;
  }
  return std::make_unique<Connection>(fd);
}

/// How a request ended for its client.
struct Outcome {
  /// Zero without an answer.
  int status = 0;
  bool whole = false;
  bool closed = false;
  std::int64_t took_ms = 0;
  Message answer;
};

/// Sends the request on a new connection and waits for the answer.
inline Outcome Ask(const Address& address, const std::string& request,
                   std::int64_t timeout_ms) {
  Outcome outcome;
  const std::int64_t begin = ElapsedMs();
  const SteadyTime deadline = Now() + std::chrono::milliseconds(timeout_ms);
  const auto connection = Connect(address, 1'000);
  if (connection && connection->Send(request)) {
    outcome.whole = connection->ReadMessage(outcome.answer, deadline);
    outcome.status = outcome.answer.status;
    outcome.closed = connection->ended();
  }
  outcome.took_ms = ElapsedMs() - begin;
  return outcome;
}

/// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  /// Answers on the connection; false to close it.
  using Handler = std::function<bool(const Message&, Connection&)>;

  Server(const std::string& ip, std::uint16_t port, Handler handler)
      : m_handler(std::move(handler)) {
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    m_address = {ip, port};
    sockaddr_in raw = ToSockaddr(m_address);
    socklen_t size = sizeof(raw);
    constexpr int kBacklog = 1'024;
    if (::bind(m_fd, reinterpret_cast<const sockaddr*>(&raw), size) != 0 ||
        ::listen(m_fd, kBacklog) != 0) {
      throw std::runtime_error("cannot listen on " + m_address.str());
    }
    ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&raw), &size);
    m_address.port = ntohs(raw.sin_port);
    m_thread = std::thread([this] { Accept(); });
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  ~Server() {
    Stop();
    while (m_threads > 0) SleepMs(5);
  }

  /// Takes no more connections and ends those that are open.
  void Stop() {
    if (m_stopped.exchange(true)) return;
    ::shutdown(m_fd, SHUT_RDWR);
    m_thread.join();
    ::close(m_fd);
    const std::lock_guard lock(m_mutex);
    for (const int fd : m_open) ::shutdown(fd, SHUT_RDWR);
  }

  const Address& address() const { return m_address; }

 private:
  void Accept() {
    while (!m_stopped) {
      const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (m_stopped) return;
        SleepMs(5);
        continue;
      }
      ++m_threads;
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    constexpr std::int64_t kIdleMs = 600'000;
    {
      Connection connection(fd);
      {
        const std::lock_guard lock(m_mutex);
        m_open.insert(fd);
      }
      for (;;) {
        Message request;
        const SteadyTime deadline = Now() + std::chrono::milliseconds(kIdleMs);
        if (m_stopped || !connection.ReadMessage(request, deadline)) break;
        if (!m_handler(request, connection)) break;
      }
      const std::lock_guard lock(m_mutex);
      m_open.erase(fd);
    }
    --m_threads;
  }

  Handler m_handler;
  int m_fd = -1;
  Address m_address;
  std::thread m_thread;
  std::atomic<bool> m_stopped{false};
  std::atomic<int> m_threads{0};
  std::mutex m_mutex;
  std::set<int> m_open;
};

inline std::string Answer(int status, const std::string& fields,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review

#endif  // YUCCAMOOR_REVIEW_STANDINS_2_NET_H_
