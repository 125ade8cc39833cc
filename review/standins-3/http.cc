#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <stdexcept>

namespace review {

namespace {

constexpr int kBacklog = 512;
constexpr int kAcceptPollMs = 50;
constexpr int kHex = 16;

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

std::string Word(const std::string& line, std::size_t index) {
  std::size_t begin = 0;
  for (; index > 0; --index) {
    begin = std::min(line.find(' ', begin), line.size() - 1) + 1;
  }
  return line.substr(begin, line.find(' ', begin) - begin);
}

sockaddr_in AddressOf(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool WaitFor(int fd, std::int16_t events, std::int64_t deadline) {
  pollfd entry{fd, events, 0};
  const std::int64_t left = std::max<std::int64_t>(deadline - NowMs(), 0);
  return ::poll(&entry, 1, static_cast<int>(left)) > 0;
}

void SetNoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string Message::Find(std::string_view name) const {
  for (const auto& [field, value] : fields) {
    if (SameName(field, name)) return value;
  }
  return {};
}

bool Message::Has(std::string_view name) const {
  return std::any_of(fields.begin(), fields.end(), [&](const auto& field) {
    return SameName(field.first, name);
  });
}

std::string Message::method() const { return Word(start, 0); }

std::string Message::target() const { return Word(start, 1); }

int Message::status() const {
  return start.empty() ? 0 : std::atoi(Word(start, 1).c_str());
}

Connection::~Connection() { ::close(m_fd); }

std::unique_ptr<Connection> Connection::Open(const std::string& ip,
                                             std::uint16_t port,
                                             std::int64_t timeout_ms) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return nullptr;
  auto connection = std::make_unique<Connection>(fd);
  const sockaddr_in address = AddressOf(ip, port);
  const int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address));
  if (result != 0 && errno != EINPROGRESS) return nullptr;
  if (!WaitFor(fd, POLLOUT, NowMs() + timeout_ms)) return nullptr;
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return nullptr;
  SetNoDelay(fd);
  return connection;
}

ReadEnd Connection::Fill(std::int64_t deadline) {
  if (!WaitFor(m_fd, POLLIN, deadline)) return ReadEnd::kTimeout;
  constexpr std::size_t kReadBytes = 16'384;
  std::array<char, kReadBytes> buffer;
  const ssize_t n = ::recv(m_fd, buffer.data(), buffer.size(), 0);
  if (n <= 0) return ReadEnd::kBroken;
  m_in.append(buffer.data(), static_cast<std::size_t>(n));
  return ReadEnd::kWhole;
}

ReadEnd Connection::FillTo(std::size_t size, std::int64_t deadline) {
  while (m_in.size() < size) {
    const ReadEnd end = Fill(deadline);
    if (end != ReadEnd::kWhole) return end;
  }
  return ReadEnd::kWhole;
}

ReadEnd Connection::ReadLine(std::string& line, std::int64_t deadline) {
  std::size_t end = 0;
  while ((end = m_in.find("\r\n")) == std::string::npos) {
    const ReadEnd filled = Fill(deadline);
    if (filled != ReadEnd::kWhole) return filled;
  }
  line = m_in.substr(0, end);
  m_in.erase(0, end + 2);
  return ReadEnd::kWhole;
}

ReadEnd Connection::ReadChunks(std::string& body, std::int64_t deadline) {
  for (;;) {
    std::string line;
    ReadEnd end = ReadLine(line, deadline);
    if (end != ReadEnd::kWhole) return end;
    const std::size_t size = std::strtoul(line.c_str(), nullptr, kHex);
    end = FillTo(size + 2, deadline);
    if (end != ReadEnd::kWhole) return end;
    body.append(m_in, 0, size);
    m_in.erase(0, size + 2);
    if (size == 0) return ReadEnd::kWhole;
  }
}

ReadEnd Connection::ReadToEnd(std::string& body, std::int64_t deadline) {
  ReadEnd end = ReadEnd::kWhole;
  while (end == ReadEnd::kWhole) end = Fill(deadline);
  body.swap(m_in);
  return end == ReadEnd::kBroken ? ReadEnd::kWhole : end;
}

ReadEnd Connection::Read(Message& message, std::int64_t timeout_ms,
                         bool is_response) {
  const std::int64_t deadline = NowMs() + timeout_ms;
  message = Message();
  ReadEnd end = ReadLine(message.start, deadline);
  if (end != ReadEnd::kWhole) return end;
  for (std::string line;;) {
    end = ReadLine(line, deadline);
    if (end != ReadEnd::kWhole) return end;
    if (line.empty()) break;
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
  }
  if (message.Has("transfer-encoding")) {
    return ReadChunks(message.body, deadline);
  }
  if (message.Has("content-length")) {
    const std::size_t size =
        std::strtoul(message.Find("content-length").c_str(), nullptr, 10);
    end = FillTo(size, deadline);
    message.body = m_in.substr(0, size);
    m_in.erase(0, message.body.size());
    return end;
  }
  return is_response ? ReadToEnd(message.body, deadline) : ReadEnd::kWhole;
}

bool Connection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
      continue;
    }
    if (errno != EAGAIN && errno != EINTR) return false;
    constexpr std::int64_t kLongestWaitMs = 10'000;
    if (!WaitFor(m_fd, POLLOUT, NowMs() + kLongestWaitMs)) return false;
  }
  return true;
}

bool Connection::WaitForClose(std::int64_t timeout_ms) {
  const std::int64_t deadline = NowMs() + timeout_ms;
  for (;;) {
    const ReadEnd end = Fill(deadline);
    if (end == ReadEnd::kBroken) return true;
    if (end == ReadEnd::kTimeout) return false;
  }
}

void Connection::Shutdown() { ::shutdown(m_fd, SHUT_RDWR); }

Server::Server(std::string ip, std::uint16_t port, Handler handler)
    : m_ip(std::move(ip)), m_handler(std::move(handler)) {
  m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = AddressOf(m_ip, port);
  socklen_t size = sizeof(address);
  auto* any = reinterpret_cast<sockaddr*>(&address);
  if (::bind(m_fd, any, size) != 0 || ::listen(m_fd, kBacklog) != 0) {
    throw std::runtime_error("cannot listen at " + m_ip);
  }
  ::getsockname(m_fd, any, &size);
  m_port = ntohs(address.sin_port);
  m_acceptor = std::thread([this] { Accept(); });
}

Server::~Server() { Stop(); }

std::string Server::address() const {
  return m_ip + ":" + std::to_string(m_port);
}

void Server::Accept() {
  while (!m_stopping) {
    if (!WaitFor(m_fd, POLLIN, NowMs() + kAcceptPollMs)) continue;
    const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    SetNoDelay(fd);
    auto connection = std::make_shared<Connection>(fd);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_connections.push_back(connection);
    m_threads.emplace_back([this, connection] { Serve(connection); });
  }
}

void Server::Serve(const std::shared_ptr<Connection>& connection) {
  m_handler(*connection);
  connection->Shutdown();
}

void Server::Stop() {
  if (m_stopping.exchange(true)) return;
  m_acceptor.join();
  ::close(m_fd);
  for (const auto& weak : m_connections) {
    if (const auto connection = weak.lock()) connection->Shutdown();
  }
  for (std::thread& thread : m_threads) thread.join();
}

std::uint16_t FreePort(const std::string& ip) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(ip, 0);
  socklen_t size = sizeof(address);
  auto* any = reinterpret_cast<sockaddr*>(&address);
  std::uint16_t port = 0;
  if (::bind(fd, any, size) == 0 && ::getsockname(fd, any, &size) == 0) {
    port = ntohs(address.sin_port);
  }
  ::close(fd);
  return port;
}

}  // namespace review
