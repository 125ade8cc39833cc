#include "crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string_view>
#include <utility>
#include <vector>

#include "http.h"
#include "trial.h"

namespace review {

namespace {

constexpr std::int64_t kTurnMs = 5;

struct Client {
  int fd = -1;
  bool has_head = false;
  std::size_t left = 0;
  std::int64_t next_at = 0;
};

void End(Client& client) {
  ::close(client.fd);
  client.fd = -1;
}

void Begin(Client& client, const CrowdOptions& options) {
  client.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (client.fd < 0) return;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options.port);
  ::inet_pton(AF_INET, options.ip.c_str(), &address.sin_addr);
  static_cast<void>(::connect(
      client.fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  client.has_head = false;
  client.left = options.body_bytes;
}

// Whether the node has answered or closed the connection.
bool HasEnded(const Client& client) {
  char byte = 0;
  const ssize_t n = ::recv(client.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != ENOTCONN);
}

bool Send(int fd, std::string_view bytes, std::size_t& sent) {
  const ssize_t n =
      ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n < 0) return errno == EAGAIN || errno == ENOTCONN;
  sent = static_cast<std::size_t>(n);
  return true;
}

}  // namespace

Crowd::Crowd(CrowdOptions options)
    : m_options(std::move(options)), m_thread([this] { Run(); }) {}

Crowd::~Crowd() {
  m_stopping = true;
  m_thread.join();
}

void Crowd::Run() {
  const std::string piece(m_options.piece_bytes, 'x');
  std::vector<Client> clients(m_options.clients);
  const std::int64_t start = NowMs();
  for (std::size_t i = 0; i < clients.size(); ++i) {
    clients[i].next_at = start + static_cast<std::int64_t>(i) *
                                     m_options.pause_ms /
                                     static_cast<std::int64_t>(clients.size());
  }
  while (!m_stopping) {
    const std::int64_t now = NowMs();
    for (Client& client : clients) {
      if (now < client.next_at) continue;
      if (client.fd >= 0 && HasEnded(client)) End(client);
      if (client.fd < 0) {
        Begin(client, m_options);
        ++m_begun;
        continue;
      }
      client.next_at += m_options.pause_ms;
      std::size_t sent = 0;
      std::string bytes = piece.substr(0, std::min(piece.size(), client.left));
      if (!client.has_head) {
        bytes =
            "POST " + m_options.path +
            " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + NewAttempt() +
            "\r\nDeadline-Ms: 30000\r\nContent-Length: " +
            std::to_string(m_options.body_bytes) + "\r\n\r\n";
      }
      if (!Send(client.fd, bytes, sent)) {
        End(client);
      } else if (client.has_head) {
        // The last byte is kept back.
        client.left -= std::min(sent, client.left - 1);
      } else {
        client.has_head = sent > 0;
      }
    }
    SleepMs(kTurnMs);
  }
  for (const Client& client : clients) {
    if (client.fd >= 0) ::close(client.fd);
  }
}

}  // namespace review
