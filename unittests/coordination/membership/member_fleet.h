/// \file
/// \brief Replicas of the members in virtual time, with a key-value service and
/// a network that lose what the test says.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_MEMBERSHIP_MEMBER_FLEET_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_MEMBERSHIP_MEMBER_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "yuccamoor/coordination/membership/member_replica.h"

namespace yuccamoor {

/// The fleet. Every member is registered from the start.
class MemberFleet {
 public:
  MemberFleet(std::size_t members, std::uint64_t seed);

  void RunFor(DurationMs duration);
  /// Removes one member's entry and registers a new one in its place, as the
  /// member itself does.
  void Replace(std::size_t member);
  /// The share of messages between peers that are lost.
  void set_loss(double loss) { m_loss = loss; }
  void set_service_down(bool down) { m_service_down = down; }
  /// A frozen member gets and does nothing.
  void SetFrozen(std::size_t member, bool frozen);

  /// Whether everyone has what the service has.
  bool Agree() const { return AgreeBut(m_nodes.size()); }
  bool AgreeBut(std::size_t member) const;

  void ResetCounts();
  double MeanBytesPerSecond() const;
  double MostBytesPerSecond() const;
  double ReadsPerSecond() const;

 private:
  struct Node {
    std::unique_ptr<MemberReplica> replica;
    std::string key;
    bool frozen = false;
    std::size_t bytes = 0;
  };

  void At(DurationMs delay, std::function<void()> run);
  void Tick(std::size_t member);
  /// Carries out what is due after an input.
  void Perform(std::size_t member);
  void Read(std::size_t member);
  void Exchange(std::size_t member, const MemberExchangeCall& call);
  bool Lost(std::size_t from, std::size_t to);
  KvReply List() const;
  double Seconds() const;

  std::vector<Node> m_nodes;
  std::map<std::string, KvEntry> m_service;
  KvVersion m_version;
  std::multimap<TimeMs, std::function<void()>> m_events;
  TimeMs m_now{1'000};
  TimeMs m_counted_since;
  pcg32 m_random;
  double m_loss = 0;
  bool m_service_down = false;
  std::size_t m_reads = 0;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_MEMBERSHIP_MEMBER_FLEET_H_
