/// \file
/// \brief Many connections of clients that do not behave, from one thread.

#ifndef YUCCAMOOR_UNITTESTS_CLIENTS_CROWD_H_
#define YUCCAMOOR_UNITTESTS_CLIENTS_CROWD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "clients/node_under_test.h"

namespace yuccamoor {

/// What one connection does. It stays open at its end.
struct Behaviour {
  /// Sent first, and then \p repeated so many times.
  std::string first;
  std::string repeated;
  std::size_t times = 0;
  /// Bytes of one write, and writes of one round.
  std::size_t piece = 65'536;
  std::size_t pieces_a_round = 16;
  /// Bytes that are read in one round.
  std::size_t reads_a_round = 0;
};

/// Connections to one port, closed at the end of the scope.
class Crowd {
 public:
  explicit Crowd(std::uint16_t port) : m_port(port) {}
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  void Add(std::size_t connections, const Behaviour& behaviour);
  /// Lets all send and read in rounds, until nothing moves any more or \p
  /// rounds are over, and samples the node in each.
  void Play(NodeUnderTest& node, int rounds = 400);

 private:
  struct Member {
    int fd = -1;
    Behaviour behaviour;
    std::size_t repeats = 0;
    std::size_t sent = 0;
    bool ended = false;
  };

  void Connect(Member& member) const;
  static bool Send(Member& member);
  static bool Read(Member& member);
  static const std::string* NextText(Member& member);

  std::uint16_t m_port;
  std::vector<Member> m_members;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_CLIENTS_CROWD_H_
