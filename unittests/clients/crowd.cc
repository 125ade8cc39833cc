#include "clients/crowd.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace yuccamoor {

namespace {
// So that what is not read stays with the node.
constexpr int kReceiveBuffer = 4'096;
constexpr int kRoundMs = 5;
constexpr int kQuietRounds = 20;

bool IsOver(ssize_t n) {
  return n < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
         errno != ENOTCONN && errno != EINPROGRESS && errno != EALREADY;
}

}  // namespace

Crowd::~Crowd() {
  for (const Member& member : m_members) ::close(member.fd);
}

void Crowd::Add(std::size_t connections, const Behaviour& behaviour) {
  for (std::size_t i = 0; i < connections; ++i) {
    m_members.push_back({-1, behaviour, 0, 0, false});
    Connect(m_members.back());
  }
}

void Crowd::Connect(Member& member) const {
  member.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  ::setsockopt(member.fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
               sizeof(kReceiveBuffer));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(m_port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int connected = ::connect(
      member.fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  member.ended = IsOver(connected);
}

const std::string* Crowd::NextText(Member& member) {
  const Behaviour& behaviour = member.behaviour;
  if (member.repeats == 0 && member.sent < behaviour.first.size()) {
    return &behaviour.first;
  }
  if (member.repeats == 0) {
    member.repeats = 1;
    member.sent = 0;
  }
  if (member.sent == behaviour.repeated.size()) {
    ++member.repeats;
    member.sent = 0;
  }
  return member.repeats <= behaviour.times ? &behaviour.repeated : nullptr;
}

bool Crowd::Send(Member& member) {
  bool moved = false;
  for (std::size_t i = 0; i < member.behaviour.pieces_a_round; ++i) {
    const std::string* text = NextText(member);
    if (!text) return moved;
    const std::size_t size =
        std::min(member.behaviour.piece, text->size() - member.sent);
    const ssize_t n = ::send(member.fd, text->data() + member.sent, size,
                             MSG_DONTWAIT | MSG_NOSIGNAL);
    member.ended = IsOver(n);
    if (n <= 0) return moved;
    member.sent += static_cast<std::size_t>(n);
    moved = true;
  }
  return moved;
}

bool Crowd::Read(Member& member) {
  if (member.behaviour.reads_a_round == 0) return false;
  std::string buffer(member.behaviour.reads_a_round, '\0');
  const ssize_t n =
      ::recv(member.fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (n == 0 || IsOver(n)) member.ended = true;
  return n > 0;
}

void Crowd::Play(NodeUnderTest& node, int rounds) {
  int quiet = 0;
  for (int i = 0; i < rounds && quiet < kQuietRounds; ++i) {
    bool moved = false;
    for (Member& member : m_members) {
      if (!member.ended && Send(member)) moved = true;
      if (!member.ended && Read(member)) moved = true;
    }
    quiet = moved ? 0 : quiet + 1;
    // Gives the node time to work; what is checked does not depend on it.
    ::poll(nullptr, 0, kRoundMs);
    if (node.Running()) node.Sample();
  }
}

}  // namespace yuccamoor
