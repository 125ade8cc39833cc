#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>

namespace review {

namespace {

constexpr std::size_t kReadBytes = 16'384;
// As on Ethernet; segments on loopback are far larger.
constexpr int kSegmentBytes = 1'460;
// Below the ports that the system gives to outgoing connections.
constexpr std::uint32_t kFirstPort = 20'000;
constexpr std::uint32_t kPortCount = 12'000;

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool Bind(int fd, std::uint16_t port) {
  const sockaddr_in address = Loopback(port);
  return ::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0;
}

std::uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

bool IsFree(std::uint16_t port, int type) {
  const int fd = ::socket(AF_INET, type, 0);
  const bool is_free = Bind(fd, port);
  ::close(fd);
  return is_free;
}

// Appends what comes next; false at the end of the connection.
bool ReadMore(int fd, std::string& buffer, bool& is_reset) {
  char bytes[kReadBytes];
  const ssize_t n = ::recv(fd, bytes, sizeof(bytes), 0);
  is_reset = n < 0;
  if (n <= 0) return false;
  buffer.append(bytes, static_cast<std::size_t>(n));
  return true;
}

void ParseHead(std::string_view head, Message& message) {
  std::size_t line_end = head.find("\r\n");
  const std::string_view first = head.substr(0, line_end);
  const std::size_t space = first.find(' ');
  if (first.starts_with("HTTP/")) {
    message.status = std::atoi(std::string(first.substr(space + 1)).c_str());
  } else {
    message.method = std::string(first.substr(0, space));
    const std::string_view rest = first.substr(space + 1);
    message.target = std::string(rest.substr(0, rest.find(' ')));
  }
  while (line_end != std::string_view::npos) {
    head.remove_prefix(line_end + 2);
    line_end = head.find("\r\n");
    const std::string_view line = head.substr(0, line_end);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    std::string_view value = line.substr(colon + 1);
    while (value.starts_with(' ')) value.remove_prefix(1);
    message.fields.emplace_back(line.substr(0, colon), value);
  }
}

ReadEnd ReadChunks(int fd, std::string& buffer, Message& message) {
  bool is_reset = false;
  for (;;) {
    std::size_t line_end = 0;
    while ((line_end = buffer.find("\r\n")) == std::string::npos) {
      if (!ReadMore(fd, buffer, is_reset)) return ReadEnd::kBroken;
    }
    const std::size_t size =
        std::strtoull(buffer.substr(0, line_end).c_str(), nullptr, 16);
    while (buffer.size() < line_end + size + 4) {
      if (!ReadMore(fd, buffer, is_reset)) return ReadEnd::kBroken;
    }
    message.body.append(buffer, line_end + 2, size);
    buffer.erase(0, line_end + size + 4);
    if (size == 0) return ReadEnd::kWhole;
  }
}

}  // namespace

std::int64_t NowMs() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point begin = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               begin)
      .count();
}

void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string Message::Find(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (SameName(key, name)) return value;
  }
  return "";
}

ReadEnd ReadMessage(int fd, std::string& buffer, Message& message,
                    bool head_only) {
  message = Message();
  bool is_reset = false;
  std::size_t head_end = 0;
  while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
    const bool had_some = !buffer.empty();
    if (ReadMore(fd, buffer, is_reset)) continue;
    return had_some ? ReadEnd::kBroken : ReadEnd::kClosed;
  }
  ParseHead(std::string_view(buffer).substr(0, head_end), message);
  buffer.erase(0, head_end + 4);
  if (head_only) return ReadEnd::kWhole;
  if (SameName(message.Find("Transfer-Encoding"), "chunked")) {
    return ReadChunks(fd, buffer, message);
  }
  const std::string length = message.Find("Content-Length");
  const std::size_t size = std::strtoull(length.c_str(), nullptr, 10);
  while (buffer.size() < size) {
    if (!ReadMore(fd, buffer, is_reset)) return ReadEnd::kBroken;
  }
  message.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return ReadEnd::kWhole;
}

bool WriteAll(int fd, std::string_view data) {
  while (!data.empty()) {
    const ssize_t n = ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    data.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

int Connect(std::uint16_t port, std::int64_t timeout_ms, int window_bytes) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (window_bytes > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes,
                 sizeof(window_bytes));
    ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes,
                 sizeof(kSegmentBytes));
  }
  const sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(fd);
    return -1;
  }
  timeval timeout{};
  timeout.tv_sec = timeout_ms / 1'000;
  timeout.tv_usec = (timeout_ms % 1'000) * 1'000;
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

std::uint16_t FreePorts() {
  static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * 130;
  for (;;) {
    next += 2;
    const auto port =
        static_cast<std::uint16_t>(kFirstPort + next % kPortCount);
    const auto after = static_cast<std::uint16_t>(port + 1);
    const bool is_free =
        IsFree(port, SOCK_STREAM) && IsFree(port, SOCK_DGRAM) &&
        IsFree(after, SOCK_STREAM) && IsFree(after, SOCK_DGRAM);
    if (is_free) return port;
  }
}

std::string ResponseText(int status, std::string_view fields,
                         std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  text.append(fields);
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text.append(body);
}

Server::Server(Handler handler) : m_handler(std::move(handler)) {
  m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (!Bind(m_listener, 0) || ::listen(m_listener, 512) != 0) std::exit(2);
  m_port = PortOf(m_listener);
  m_thread = std::thread([this] { Accept(); });
}

Server::~Server() {
  StopListening();
  ResetConnections();
  while (m_running > 0) SleepMs(5);
}

void Server::Accept() {
  while (!m_stopping) {
    pollfd entry{m_listener, POLLIN, 0};
    if (::poll(&entry, 1, 50) != 1) continue;
    const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::lock_guard lock(m_mutex);
      m_open.insert(fd);
    }
    ++m_running;
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void Server::Serve(int fd) {
  m_handler(fd);
  {
    const std::lock_guard lock(m_mutex);
    m_open.erase(fd);
    ::close(fd);
  }
  --m_running;
}

void Server::ResetConnections() {
  const std::lock_guard lock(m_mutex);
  for (const int fd : m_open) {
    const linger now{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    ::shutdown(fd, SHUT_RDWR);
  }
}

void Server::StopListening() {
  if (m_stopping.exchange(true)) return;
  m_thread.join();
  ::close(m_listener);
}

}  // namespace review
