/// \file
/// \brief Tests of the election: takeover, renewal, hand-over and promises.

#include "yuccamoor/coordination/leadership/election.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "coordination/leadership/text_codec.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kStep{10};

/// A service with one key, whose faults are set by the test.
struct FakeService {
  KvVersion version;
  std::string value;
  bool up = true;
  bool lose_answers = false;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;

  KvReply Call(const KvRequest& request) {
    KvReply reply;
    if (!up) {
      reply.status = KvStatus::kUnavailable;
      return reply;
    }
    reply.status = KvStatus::kOk;
    if (const auto* swap = std::get_if<KvCompareAndSwap>(&request)) {
      if (swap->expected != version) {
        reply.status = KvStatus::kConflict;
      } else {
        version = version.Next();
        value = swap->value;
        reply.version = version;
        ++writes;
        if (lose_answers) reply.status = KvStatus::kUnknown;
        return reply;
      }
    }
    if (std::holds_alternative<KvGet>(request)) ++reads;
    if (version == KvVersion()) {
      reply.status = KvStatus::kNotFound;
    } else {
      reply.entries.push_back(KvEntry{"key", value, version});
    }
    return reply;
  }
};

/// Some candidates of one cell over one service, all in one time.
class Candidates {
 public:
  explicit Candidates(std::size_t count, bool use_holds = true) {
    for (std::size_t i = 0; i < count; ++i) {
      m_all.push_back(Candidate{NodeId("n" + std::to_string(i)), "addr",
                                FailureDomainId("d" + std::to_string(i))});
    }
    for (std::size_t i = 0; i < count; ++i) {
      ElectionOptions options;
      options.cell = CellId("cell");
      options.self = m_all[i];
      options.incarnation = Incarnation(1);
      options.use_holds = use_holds;
      m_nodes.push_back(Election::Create(options, m_codec, now).value());
      m_nodes.back().OnCandidates(CandidateList{m_all, now, now});
      cut.push_back(false);
      frozen.push_back(false);
    }
  }

  Election& operator[](std::size_t i) { return m_nodes[i]; }

  void Run(DurationMs time) {
    const TimeMs end = now + time;
    for (; now < end; now = now + kStep) {
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (frozen[i]) continue;
        if (m_listed) {
          m_nodes[i].OnCandidates(CandidateList{*m_listed, now, now});
        }
        Handle(i, m_nodes[i].Tick(now));
      }
      CHECK(Leaders() <= 1);
    }
  }

  /// Ends candidates and tells the others.
  void Kill(const std::vector<NodeId>& dead) {
    m_listed.emplace();
    for (std::size_t i = 0; i < m_all.size(); ++i) {
      frozen[i] =
          std::find(dead.begin(), dead.end(), m_all[i].id) != dead.end();
      if (!frozen[i]) m_listed->push_back(m_all[i]);
    }
  }

  std::size_t Leaders() const {
    std::size_t leaders = 0;
    for (const Election& node : m_nodes) leaders += node.IsLeader(now) ? 1 : 0;
    return leaders;
  }

  /// The index of the leader, or the number of candidates.
  std::size_t Leader() const {
    std::size_t i = 0;
    while (i < m_nodes.size() && !m_nodes[i].IsLeader(now)) ++i;
    return i;
  }

  TimeMs now{1'000};
  FakeService service;
  /// Candidates that cannot reach the service, and those that do nothing.
  std::vector<bool> cut;
  std::vector<bool> frozen;
  std::vector<BecameLeader> terms;

 private:
  void Handle(std::size_t from, const ElectionActions& actions) {
    for (const ElectionAction& action : actions) {
      if (const auto* call = std::get_if<KvCall>(&action)) {
        KvReply reply;
        reply.status = KvStatus::kUnavailable;
        if (!cut[from]) reply = service.Call(call->request);
        Handle(from, m_nodes[from].OnKvReply(call->id, reply, now));
      } else if (const auto* hold = std::get_if<SendHoldRequest>(&action)) {
        Deliver(from, *hold);
      } else if (const auto* term = std::get_if<BecameLeader>(&action)) {
        terms.push_back(*term);
      }
    }
  }

  void Deliver(std::size_t from, const SendHoldRequest& hold) {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (m_all[i].id != hold.to.id || frozen[i]) continue;
      m_nodes[from].OnHoldReply(m_nodes[i].OnHoldRequest(hold.request, now));
    }
  }

  TextCodec m_codec;
  std::vector<Candidate> m_all;
  std::vector<Election> m_nodes;
  /// The list that is read at each step, once candidates have died.
  std::optional<std::vector<Candidate>> m_listed;
};

}  // namespace

TEST_CASE("One candidate leads and keeps the lead", "[election]") {
  Candidates nodes(3);
  nodes.Run(DurationMs(30'000));
  REQUIRE(nodes.Leaders() == 1);
  CHECK(nodes.terms.size() == 1);
  CHECK(nodes.terms[0].epoch == Epoch(1));
}

TEST_CASE("A successor takes over from a dead leader", "[election]") {
  Candidates nodes(3);
  nodes.Run(DurationMs(10'000));
  const std::size_t leader = nodes.Leader();
  REQUIRE(leader < 3);
  nodes.frozen[leader] = true;
  nodes.Run(DurationMs(3'500));
  REQUIRE(nodes.Leaders() == 1);
  CHECK(nodes.Leader() != leader);
  CHECK(nodes.terms.back().epoch == Epoch(2));
  SECTION("and the old one finds out when it wakes") {
    nodes.frozen[leader] = false;
    nodes.Run(DurationMs(1'000));
    CHECK_FALSE(nodes[leader].HoldsRecord());
  }
}

TEST_CASE("Resigning hands over at once", "[election]") {
  Candidates nodes(3);
  nodes.Run(DurationMs(10'000));
  const std::size_t leader = nodes.Leader();
  REQUIRE(leader < 3);
  nodes[leader].Resign(nodes.now);
  CHECK_FALSE(nodes[leader].IsLeader(nodes.now));
  nodes.Run(DurationMs(1'000));
  CHECK(nodes[leader].Resigned());
  REQUIRE(nodes.Leaders() == 1);
  CHECK(nodes.Leader() != leader);
}

TEST_CASE("A lost answer is settled by reading back", "[election]") {
  Candidates nodes(1);
  nodes.service.lose_answers = true;
  nodes.Run(DurationMs(6'000));
  CHECK(nodes.Leaders() == 1);
  CHECK(nodes.terms.size() == 1);
}

TEST_CASE("Through an outage the leader orders on promises", "[election]") {
  const bool use_holds = GENERATE(true, false);
  Candidates nodes(3, use_holds);
  nodes.Run(DurationMs(10'000));
  const std::size_t leader = nodes.Leader();
  REQUIRE(leader < 3);
  nodes.service.up = false;
  nodes.Run(DurationMs(600'000));
  CHECK(nodes[leader].IsLeader(nodes.now) == use_holds);
  nodes.service.up = true;
  nodes.Run(DurationMs(10'000));
  CHECK(nodes.Leaders() == 1);
  if (use_holds) CHECK(nodes.terms.size() == 1);
}

TEST_CASE("Candidates that are not listed read seldom", "[election]") {
  // The schedulers of one region at the size to design for.
  Candidates nodes(113);
  nodes.Run(DurationMs(60'000));
  const std::uint64_t before = nodes.service.reads;
  nodes.Run(DurationMs(60'000));
  // 2,000 reads/s, less 700 for members and configuration, over 61 cells.
  CHECK(nodes.service.reads - before <= std::uint64_t{60} * 1'300 / 61);
}

TEST_CASE("Unlisted candidates take over when all listed ones die at once",
          "[election]") {
  Candidates nodes(6);
  nodes.Run(DurationMs(60'000));
  const std::size_t leader = nodes.Leader();
  REQUIRE(leader < 6);
  std::vector<NodeId> dead{NodeId("n" + std::to_string(leader))};
  for (const Candidate& c : nodes[leader].record()->successors) {
    dead.push_back(c.id);
  }
  REQUIRE(dead.size() == 3);
  nodes.Kill(dead);
  // 2.5 s for the record and the turns, 1 s for the reads.
  nodes.Run(DurationMs(3'500));
  CHECK(nodes.Leaders() == 1);
}

TEST_CASE("A leader that has lapsed skips no successor", "[election]") {
  Candidates nodes(3);
  nodes.Run(DurationMs(10'000));
  const std::size_t leader = nodes.Leader();
  REQUIRE(leader < 3);
  nodes.cut[leader] = true;
  nodes.frozen[leader] = true;
  nodes.Run(DurationMs(6'000));
  REQUIRE(nodes.Leader() < 3);
  // The others are gone, but one of them has led meanwhile.
  for (std::size_t i = 0; i < 3; ++i) nodes.frozen[i] = i != leader;
  nodes.now = nodes.now + DurationMs(3'000);
  const Candidate self{NodeId("n" + std::to_string(leader)), "addr",
                       FailureDomainId("d" + std::to_string(leader))};
  nodes[leader].OnCandidates(CandidateList{{self}, nodes.now, nodes.now});
  nodes.Run(DurationMs(1'500));
  CHECK_FALSE(nodes[leader].IsLeader(nodes.now));
}

TEST_CASE("Evictions are announced at a bounded rate of writes", "[election]") {
  Candidates nodes(3);
  nodes.Run(DurationMs(10'000));
  const std::size_t leader = nodes.Leader();
  REQUIRE(leader < 3);
  const std::uint64_t before = nodes.service.writes;
  for (int i = 0; i < 1'000; ++i) {
    const SlotKey key{
        WorkerId("w"),
        AdapterVersion{AdapterId("a" + std::to_string(i)), VersionId("1")}};
    nodes[leader].Announce({key});
    CHECK_FALSE(nodes[leader].Clearance(nodes.now).announced.contains(key));
    nodes.Run(kStep);
  }
  // Ten seconds at five writes a second.
  CHECK(nodes.service.writes - before <= 51);
  const SlotKey last{WorkerId("w"), {AdapterId("last"), VersionId("1")}};
  nodes[leader].Announce({last});
  nodes.Run(DurationMs(250));
  CHECK(nodes[leader].Clearance(nodes.now).announced.contains(last));
  CHECK_FALSE(nodes[leader].Clearance(nodes.now).unlisted);
}

TEST_CASE("A leader cut off alone gets no promise", "[election]") {
  Candidates nodes(3);
  nodes.Run(DurationMs(10'000));
  const std::size_t leader = nodes.Leader();
  REQUIRE(leader < 3);
  nodes.cut[leader] = true;
  nodes.Run(DurationMs(5'000));
  CHECK_FALSE(nodes[leader].IsLeader(nodes.now));
  CHECK(nodes.Leaders() == 1);
}

}  // namespace yuccamoor
