/// \file
/// \brief Property test: what nodes of a large fleet pass on to each other of
/// the store's changes, while datagrams are lost and the store forgets its
/// history.

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "transport/fleet/context_parts.h"
#include "transport/fleet/fake_fleet_store.h"
#include "yuccamoor/state/fleet/boot_clock.h"
#include "yuccamoor/transport/fleet/store_session.h"

namespace yuccamoor::fleet {
namespace {

constexpr int kNodes = 18;
constexpr int kEndpoints = 6;
constexpr std::uint64_t kLastRevision = 250;

NodeId NodeOf(int number) { return NodeId("n" + std::to_string(number)); }

NodeSettings SettingsOf(int number) {
  NodeSettings settings;
  settings.node = NodeOf(number);
  settings.domain = FailureDomainId("a");
  // So that reads follow each other within milliseconds.
  settings.max_propagation_delay = DurationMs(8);
  return settings;
}

/// One process's state: whether it has said that it leaves.
struct ProcessState {
  std::uint64_t start = 1;
  bool leaving = false;
};

/// The endpoints' entries at each revision.
class History {
 public:
  explicit History(std::uint64_t seed) : m_random(seed) {
    for (int i = 0; i < kEndpoints; ++i) Write(i, {});
  }

  std::uint64_t newest() const { return m_writes.size(); }
  /// Has an endpoint repeat its entry, leave, or come back as another process.
  void WriteSome() {
    const int endpoint = static_cast<int>(Draw(kEndpoints));
    ProcessState state = StateAt(endpoint, newest());
    if (Draw(3) == 0) {
      if (state.leaving) ++state.start;
      state.leaving = !state.leaving;
    }
    Write(endpoint, state);
  }
  ProcessState StateAt(int endpoint, std::uint64_t revision) const {
    ProcessState state;
    for (std::uint64_t i = 0; i < revision; ++i) {
      if (m_writes[i].first == endpoint) state = m_writes[i].second;
    }
    return state;
  }
  std::vector<StoreChange> ChangesAfter(std::uint64_t revision) const {
    std::vector<StoreChange> changes;
    for (std::uint64_t i = revision; i < newest(); ++i) {
      changes.push_back(ChangeOf(m_writes[i].first, m_writes[i].second));
    }
    return changes;
  }
  /// All entries: the first half at one revision, the others at a later one.
  std::vector<StoreChange> Pages(std::uint64_t first,
                                 std::uint64_t second) const {
    std::vector<StoreChange> changes;
    for (int i = 0; i < kNodes; ++i) {
      const NodeRecord record{
          {"10.0.0.1", 1}, StoreLease(1), FailureDomainId("a")};
      changes.emplace_back(RecordWritten{FleetView::NodeKey(NodeOf(i)),
                                         EncodeNodeRecord(record),
                                         Revision(1)});
    }
    for (int i = 0; i < kEndpoints; ++i) {
      const std::uint64_t at = i < kEndpoints / 2 ? first : second;
      changes.push_back(ChangeOf(i, StateAt(i, at)));
    }
    return changes;
  }
  std::uint32_t Draw(std::uint32_t bound) { return m_random(bound); }

 private:
  static StoreChange ChangeOf(int endpoint, const ProcessState& state) {
    EndpointEntry entry;
    entry.id = EndpointId("e" + std::to_string(endpoint));
    entry.start_unix_ms = state.start;
    entry.draining = state.leaving;
    return EndpointWritten{entry};
  }
  void Write(int endpoint, const ProcessState& state) {
    m_writes.emplace_back(endpoint, state);
  }

  pcg32 m_random;
  std::vector<std::pair<int, ProcessState>> m_writes;
};

/// A node of the fleet with its calls to the store.
struct RelayNode {
  std::unique_ptr<ContextParts> parts;
  FakeFleetStore store;
  std::unique_ptr<StoreSession> session;
  std::size_t reads_answered = 0;
  // Of the first page, once that is on its way.
  std::uint64_t page_revision = 0;
  std::size_t watches_answered = 0;
  std::size_t watches_checked = 0;
};

class RelayFleet {
 public:
  explicit RelayFleet(std::uint64_t seed) : m_history(seed) {
    for (int i = 0; i < kNodes; ++i) {
      RelayNode& node = *m_nodes.emplace_back(std::make_unique<RelayNode>());
      node.parts = std::make_unique<ContextParts>(m_clock, SettingsOf(i));
      node.session = std::make_unique<StoreSession>(
          node.parts->context, node.store,
          [this, i](const TellChanges& told) { Post(i, told); });
      node.session->Start([] {});
    }
  }

  void Play() {
    while (m_history.newest() < kLastRevision) {
      if (m_history.Draw(2) == 0) m_history.WriteSome();
      if (m_history.Draw(30) == 0) m_forgotten = m_history.newest();
      Deliver();
      for (const auto& node : m_nodes) {
        node->parts->io.restart();
        node->parts->io.poll();
        CheckClaims(*node);
        if (m_history.Draw(3) == 0) Answer(*node);
      }
      m_nodes.front()->parts->io.run_for(std::chrono::microseconds(200));
    }
  }

  /// Watches after a revision up to which the node lacked a change.
  int false_claims() const { return m_false_claims; }
  int claims() const { return m_claims; }

 private:
  void Post(int teller, const TellChanges& told) {
    for (int i = 0; i < kNodes; ++i) {
      const bool is_lost = m_history.Draw(5) == 0;
      if (i != teller && !is_lost) m_datagrams.emplace_back(i, told);
    }
  }
  // Some datagrams wait for the next turn.
  void Deliver() {
    for (auto& [node, told] : std::exchange(m_datagrams, {})) {
      if (m_history.Draw(4) == 0) {
        m_datagrams.emplace_back(node, std::move(told));
      } else {
        m_nodes[static_cast<std::size_t>(node)]->session->OnTellChanges(told);
      }
    }
  }

  void Answer(RelayNode& node) {
    FakeFleetStore& store = node.store;
    if (node.reads_answered < store.reads.size()) {
      AnswerRead(node);
      return;
    }
    if (node.watches_answered == store.watches.size()) return;
    const std::size_t number = node.watches_answered++;
    const std::uint64_t after = store.watched_after[number].value();
    StoreReadResult reading;
    reading.status =
        after < m_forgotten ? StoreStatus::kCompacted : StoreStatus::kOk;
    if (after >= m_forgotten) reading.changes = m_history.ChangesAfter(after);
    reading.read_revision = Revision(m_history.newest());
    store.watches[number](reading);
  }
  // The store goes on between the two pages.
  void AnswerRead(RelayNode& node) {
    if (node.page_revision == 0) {
      node.page_revision = m_history.newest();
      return;
    }
    StoreReadResult reading;
    reading.status = StoreStatus::kOk;
    reading.read_revision = Revision(std::exchange(node.page_revision, 0));
    reading.newest_revision = Revision(m_history.newest());
    reading.changes = m_history.Pages(reading.read_revision.value(),
                                      reading.newest_revision.value());
    node.store.reads[node.reads_answered++](reading);
  }

  // Who watches the changes after a revision has to know those before.
  void CheckClaims(RelayNode& node) {
    const auto& watched = node.store.watched_after;
    for (; node.watches_checked < watched.size(); ++node.watches_checked) {
      ++m_claims;
      const std::uint64_t after = watched[node.watches_checked].value();
      if (!KnowsAllUpTo(node, after)) ++m_false_claims;
    }
  }
  bool KnowsAllUpTo(const RelayNode& node, std::uint64_t revision) const {
    for (int i = 0; i < kEndpoints; ++i) {
      const ProcessState state = m_history.StateAt(i, revision);
      const Endpoint* known = node.parts->view.endpoints().Find(
          EndpointId("e" + std::to_string(i)));
      if (!known || known->entry.start_unix_ms < state.start) return false;
      const bool is_same = known->entry.start_unix_ms == state.start;
      if (is_same && state.leaving && !known->leaving) return false;
    }
    return true;
  }

  BootClock m_clock;
  History m_history;
  std::vector<std::unique_ptr<RelayNode>> m_nodes;
  // Each with the number of the node that it goes to.
  std::vector<std::pair<int, TellChanges>> m_datagrams;
  // The store has no changes up to this revision any more.
  std::uint64_t m_forgotten = 0;
  int m_claims = 0;
  int m_false_claims = 0;
};

/// A session that has read everything at a revision, and what it passes on.
struct ReadSession {
  ReadSession(int number, const History& history, std::uint64_t revision)
      : parts(clock, SettingsOf(number)),
        session(parts.context, store,
                [this](const TellChanges& changes) { told = changes; }) {
    session.Start([] {});
    StoreReadResult reading;
    reading.status = StoreStatus::kOk;
    reading.read_revision = Revision(revision);
    reading.changes = history.Pages(revision, revision);
    store.reads.at(0)(reading);
  }

  BootClock clock;
  ContextParts parts;
  FakeFleetStore store;
  TellChanges told;
  StoreSession session;
};

}  // namespace

// Configurations are not passed on, so that all nodes of a failure domain read
// them, over links that take seconds for large ones.
TEST_CASE("A node that reads for itself is told at once which endpoints leave",
          "[fleet][store][large]") {
  const History history(1);
  const std::uint64_t begin = history.newest();
  const bool has_missed_more = GENERATE(false, true);
  ReadSession reader(0, history, begin);
  ReadSession follower(1, history, begin - (has_missed_more ? 1 : 0));
  while (reader.store.watches.empty()) reader.parts.io.run_one();

  StoreReadResult reading;
  reading.status = StoreStatus::kOk;
  reading.read_revision = Revision(begin + 2);
  ConfigWritten config;
  config.config.version = Revision(1);
  EndpointWritten leaving;
  leaving.entry.id = EndpointId("e0");
  leaving.entry.start_unix_ms = 1;
  leaving.entry.draining = true;
  reading.changes = {config, leaving};
  reader.store.watches[0](reading);
  REQUIRE_FALSE(reader.told.complete);

  follower.session.OnTellChanges(reader.told);
  const EndpointTable& endpoints = follower.parts.view.endpoints();
  CHECK(endpoints.Find(EndpointId("e0"))->leaving);
  CHECK_FALSE(endpoints.Find(EndpointId("e1"))->leaving);
  // It still reads the rest, if not all.
  const FakeFleetStore& store = follower.store;
  while (store.reads.size() + store.watches.size() < 2) {
    follower.parts.io.run_one();
  }
  CHECK((store.watches.empty() ||
         store.watched_after.back() < Revision(begin + 1)));
}

// A node that had lost a datagram never learned that an endpoint was leaving,
// and sent it requests until it was gone: the next reader that passed changes
// on left out what it had heard from the first one, or had found in a later
// page.
TEST_CASE("No change is lost between the nodes that pass changes on",
          "[fleet][store][large]") {
  constexpr std::uint64_t kSeeds = 10;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RelayFleet fleet(seed);
    fleet.Play();
    CAPTURE(seed, fleet.claims());
    CHECK(fleet.false_claims() == 0);
    CHECK(fleet.claims() > 50);
  }
}

}  // namespace yuccamoor::fleet
