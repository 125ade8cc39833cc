/// \file
/// \brief Tests of who reads the store in a fleet, and how often.

#include "yuccamoor/coordination/fleet/watch_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace yuccamoor::fleet {
namespace {

constexpr DurationMs kMaxDelay{4'000};
constexpr DurationMs kStep{10};
constexpr int kDomains = 5;

// Nodes that read a store which always answers at once, and pass messages on
// without loss. Entries change nothing, except at the time of one change.
class ReadingFleet {
 public:
  explicit ReadingFleet(int nodes) {
    for (int i = 0; i < nodes; ++i) {
      NodeRecord record;
      record.domain = FailureDomainId("d" + std::to_string(i % kDomains));
      m_records[NodeId("n" + std::to_string(i))] = record;
    }
    for (const auto& [node, record] : m_records) {
      Member member{.node = node,
                    .domain = record.domain,
                    .plan = WatchPlan(node, record.domain, kMaxDelay, m_now),
                    .learned_at = std::nullopt};
      m_nodes.push_back(std::move(member));
      m_nodes.back().plan.SetNodes(m_records);
      m_nodes.back().plan.OnRead(ReadOutcome::kUnchanged, m_now);
    }
  }

  void RunUntil(TimeMs end) {
    for (; m_now < end; m_now = m_now + kStep) {
      for (Member& member : m_nodes) {
        if (!member.stopped && member.plan.NextRead() <= m_now) Read(member);
      }
    }
  }

  // Stops the nodes that read first in each domain, without any node's view
  // telling so yet.
  void StopReaders() {
    for (Member& member : m_nodes) {
      if (member.reads > 0) member.stopped = true;
      member.reads = 0;
    }
  }

  void ResetCounts() {
    for (Member& member : m_nodes) member.reads = 0;
  }
  void SetStoreUp(bool up) { m_store_up = up; }
  void SetStoreSilent(bool silent) { m_store_silent = silent; }
  void Change() { m_changed_at = m_now; }

  TimeMs now() const { return m_now; }
  int Reads() const {
    int reads = 0;
    for (const Member& member : m_nodes) reads += member.reads;
    return reads;
  }
  // How long the last node that runs took to learn of the change.
  DurationMs SlowestToLearn() const {
    DurationMs slowest{0};
    for (const Member& member : m_nodes) {
      if (member.stopped) continue;
      slowest = std::max(
          slowest, member.learned_at.value_or(m_now) - m_changed_at.value());
    }
    return slowest;
  }

 private:
  struct Member {
    NodeId node;
    FailureDomainId domain;
    WatchPlan plan;
    int reads = 0;
    bool stopped = false;
    std::optional<TimeMs> learned_at;
  };

  void Learn(Member& member) {
    if (m_changed_at && !member.learned_at) member.learned_at = m_now;
  }

  void Read(Member& member) {
    ++member.reads;
    member.plan.OnReadBegun(m_now);
    if (m_store_silent) return;
    if (!m_store_up) {
      member.plan.OnRead(ReadOutcome::kFailed, m_now);
      return;
    }
    const bool changed = m_changed_at && !member.learned_at;
    Learn(member);
    const bool passes_on = member.plan.PassesOn(m_now);
    member.plan.OnRead(
        changed ? ReadOutcome::kChanged : ReadOutcome::kUnchanged, m_now);
    if (!passes_on) return;
    for (Member& other : m_nodes) {
      if (other.domain != member.domain || other.node == member.node) continue;
      other.plan.OnReceived(m_now);
      Learn(other);
    }
  }

  TimeMs m_now{10'000};
  bool m_store_up = true;
  bool m_store_silent = false;
  std::optional<TimeMs> m_changed_at;
  std::map<NodeId, NodeRecord> m_records;
  std::vector<Member> m_nodes;
};

}  // namespace

TEST_CASE("Calls to the store do not grow with the nodes of a large fleet",
          "[fleet][watch][large]") {
  constexpr int kSeconds = 20;
  std::vector<int> reads;
  for (const int nodes : {30, 100, 300, 1'000}) {
    ReadingFleet fleet(nodes);
    fleet.RunUntil(fleet.now() + DurationMs(1'000) * kSeconds);
    CAPTURE(nodes, fleet.Reads());
    // Two readers in each domain, each four times in the maximum delay.
    CHECK(fleet.Reads() <= 2 * kDomains * (kSeconds + 2));
    reads.push_back(fleet.Reads());
  }
  CHECK(reads.back() <= reads.front());
}

TEST_CASE("A change is known everywhere within the maximum delay",
          "[fleet][watch][large]") {
  ReadingFleet fleet(195);
  fleet.RunUntil(TimeMs(15'000));
  SECTION("while the readers run") {
    fleet.Change();
    fleet.RunUntil(fleet.now() + kMaxDelay);
    CHECK(fleet.SlowestToLearn() <= kMaxDelay / 2);
  }
  SECTION("also if all readers have just stopped") {
    fleet.StopReaders();
    fleet.Change();
    fleet.RunUntil(fleet.now() + kMaxDelay);
    CHECK(fleet.SlowestToLearn() <= kMaxDelay * 3 / 4);
    // The followers do not all read at once.
    CHECK(fleet.Reads() <= 8 * kDomains);
  }
}

TEST_CASE("Nodes of a large fleet do not all retry while the store is down",
          "[fleet][watch][large]") {
  ReadingFleet fleet(195);
  fleet.RunUntil(TimeMs(15'000));
  fleet.ResetCounts();
  fleet.SetStoreUp(false);
  fleet.RunUntil(TimeMs(23'000));
  // One call a second and node at most.
  CHECK(fleet.Reads() <= 195 * 8);
  fleet.SetStoreUp(true);
  fleet.Change();
  fleet.RunUntil(fleet.now() + DurationMs(500));
  CHECK(fleet.SlowestToLearn() <= DurationMs(300));
}

TEST_CASE("Nodes of a large fleet ask a silent store once a second at most",
          "[fleet][watch][large]") {
  ReadingFleet fleet(195);
  fleet.RunUntil(TimeMs(15'000));
  fleet.ResetCounts();
  fleet.SetStoreSilent(true);
  fleet.RunUntil(TimeMs(23'000));
  CHECK(fleet.Reads() <= 195 * 8);
  fleet.SetStoreSilent(false);
  fleet.Change();
  fleet.RunUntil(fleet.now() + DurationMs(2'000));
  CHECK(fleet.SlowestToLearn() <= kMaxDelay / 2);
}

TEST_CASE("Every node of a small fleet reads by itself", "[fleet][watch]") {
  ReadingFleet fleet(9);
  fleet.RunUntil(TimeMs(20'000));
  fleet.ResetCounts();
  fleet.RunUntil(TimeMs(30'000));
  CHECK(fleet.Reads() >= 9 * 7);
}

// A watch on a connection that fell silent hid changes for longer than they may
// take to be in force.
TEST_CASE("A silent watch ends and is repeated within the propagation delay",
          "[fleet][watch]") {
  const NodeId self("n");
  const FailureDomainId domain("d");
  for (const DurationMs max_delay : {DurationMs(2'000), kMaxDelay}) {
    WatchPlan plan(self, domain, max_delay, TimeMs(0));
    plan.OnRead(ReadOutcome::kUnchanged, TimeMs(5'000));
    const ReadOptions options = plan.NextReadOptions();
    CHECK(options.wait < options.timeout);
    plan.OnReadBegun(TimeMs(6'000));
    CHECK(plan.NextRead() > TimeMs(6'000) + options.wait);
    CHECK(plan.NextRead() < TimeMs(6'000) + max_delay);
    CHECK(plan.NextReadOptions().new_connection);
  }
}

// A node that had missed many configurations began further reads of them while
// the first answer was arriving. All shared its narrow link, so each took
// longer than a change may.
TEST_CASE("An answer that is arriving is not asked for again",
          "[fleet][watch]") {
  WatchPlan plan(NodeId("n"), FailureDomainId("d"), kMaxDelay, TimeMs(0));
  plan.OnRead(ReadOutcome::kFailed, TimeMs(10'000));
  plan.OnReadBegun(TimeMs(10'250));
  const TimeMs last(16'000);
  for (TimeMs now(10'400); now <= last; now = now + DurationMs(100)) {
    plan.OnProgress(now);
    // Nor because another node tells of more changes.
    plan.RequestRead(now);
    REQUIRE(plan.NextRead() > now + DurationMs(100));
  }
  // The rest of it may be lost.
  CHECK(plan.NextRead() <= last + kMaxDelay / 4);
}

TEST_CASE("Watches wait longer for the answers of a slow store",
          "[fleet][watch]") {
  WatchPlan plan(NodeId("n"), FailureDomainId("d"), DurationMs(2'000),
                 TimeMs(0));
  const DurationMs slow{1'900};
  CHECK(plan.NextReadOptions().timeout - plan.NextReadOptions().wait > slow);
  for (int i = 0; i < 3; ++i) {
    plan.OnReadBegun(TimeMs(0));
    plan.OnRead(ReadOutcome::kUnanswered, TimeMs(0));
  }
  CHECK(plan.NextReadOptions().timeout > slow);
}

TEST_CASE("Reads of a store that does not answer are bounded",
          "[fleet][watch]") {
  WatchPlan plan(NodeId("n"), FailureDomainId("d"), DurationMs(2'000),
                 TimeMs(0));
  constexpr std::size_t kBound = 10;
  std::size_t reads = 0;
  for (; plan.NextRead() < TimeMs::Never() && reads < kBound; ++reads) {
    plan.OnReadBegun(plan.NextRead());
  }
  CHECK(reads < kBound);
  plan.OnRead(ReadOutcome::kUnanswered, TimeMs(20'000));
  CHECK(plan.NextRead() <= TimeMs(20'000));
}

TEST_CASE("A node that missed changes reads on until there are no more",
          "[fleet][watch]") {
  WatchPlan plan(NodeId("n"), FailureDomainId("d"), DurationMs(2'000),
                 TimeMs(0));
  plan.OnRead(ReadOutcome::kUnanswered, TimeMs(10'000));
  plan.OnRead(ReadOutcome::kChanged, TimeMs(11'000));
  CHECK(plan.NextRead() == TimeMs(11'000));
  CHECK(plan.NextReadOptions().wait == DurationMs(0));
  plan.OnRead(ReadOutcome::kUnchanged, TimeMs(11'010));
  CHECK(plan.NextRead() > TimeMs(11'100));
  // Changes at other times are not worth a read each.
  plan.OnRead(ReadOutcome::kChanged, TimeMs(12'000));
  CHECK(plan.NextRead() > TimeMs(12'100));
}

TEST_CASE("A node that others do not know yet follows", "[fleet][watch]") {
  std::map<NodeId, NodeRecord> others;
  for (int i = 0; i < 40; ++i) {
    others[NodeId("n" + std::to_string(i))].domain = FailureDomainId("d");
  }
  WatchPlan plan(NodeId("new"), FailureDomainId("d"), kMaxDelay, TimeMs(0));
  plan.SetNodes(others);
  plan.OnRead(ReadOutcome::kUnchanged, TimeMs(0));
  plan.OnReceived(TimeMs(1'000));
  CHECK_FALSE(plan.PassesOn(TimeMs(1'100)));
  CHECK(plan.NextRead() > TimeMs(2'000));
}

TEST_CASE("A follower that missed changes reads soon", "[fleet][watch]") {
  std::map<NodeId, NodeRecord> nodes;
  for (int i = 0; i < 40; ++i) {
    nodes[NodeId("n" + std::to_string(i))].domain = FailureDomainId("d");
  }
  for (const auto& [node, record] : nodes) {
    WatchPlan plan(node, record.domain, kMaxDelay, TimeMs(0));
    plan.SetNodes(nodes);
    plan.OnRead(ReadOutcome::kUnchanged, TimeMs(5'000));
    plan.OnReceived(TimeMs(5'000));
    plan.RequestRead(TimeMs(5'100));
    CHECK(plan.NextRead() <= TimeMs(5'400));
    plan.OnRead(ReadOutcome::kChanged, TimeMs(5'400));
    CHECK(plan.NextRead() > TimeMs(5'600));
  }
}

// Followers whose read was lost with a silent store got no configuration for
// seconds: their readers, back already, put off each further read.
TEST_CASE("A follower that missed changes reads beside an overdue read",
          "[fleet][watch][large]") {
  std::map<NodeId, NodeRecord> nodes;
  for (int i = 0; i < 40; ++i) {
    nodes[NodeId("n" + std::to_string(i))].domain = FailureDomainId("d");
  }
  for (const auto& [node, record] : nodes) {
    WatchPlan plan(node, record.domain, kMaxDelay, TimeMs(0));
    plan.SetNodes(nodes);
    plan.OnReadBegun(TimeMs(5'000));
    plan.OnReceived(TimeMs(6'000));
    plan.RequestRead(TimeMs(6'000));
    CHECK(plan.NextRead() <= TimeMs(6'300));
    plan.OnReadBegun(TimeMs(6'300));
    CHECK(plan.NextRead() > TimeMs(6'400));
    // That one is lost as well.
    plan.OnReceived(TimeMs(6'800));
    plan.RequestRead(TimeMs(6'800));
    CHECK(plan.NextRead() <= TimeMs(7'300));
  }
}

}  // namespace yuccamoor::fleet
