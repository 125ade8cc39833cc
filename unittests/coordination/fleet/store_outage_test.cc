/// \file
/// \brief Property test: whatever happens to the store, a node that reaches it
/// again knows in time what was written.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "yuccamoor/coordination/fleet/watch_plan.h"

namespace yuccamoor::fleet {
namespace {

constexpr DurationMs kMaxDelay{2'000};
// Nodes whose connections have worked for this long are held to the maximum
// delay.
constexpr DurationMs kContactTime{3'000};
constexpr DurationMs kAnswerTime{4};
constexpr TimeMs kStart{1'000};
constexpr TimeMs kEnd{45'000};

/// What happens to the store for a while.
enum class Trouble : std::uint8_t {
  /// Calls are not answered, and those under way are lost.
  kSilent,
  /// Calls are answered late.
  kSlow,
  /// Calls are refused.
  kRefusing,
  /// Connections are reset.
  kResetting,
};

struct Disruption {
  Trouble trouble = Trouble::kSilent;
  TimeMs from;
  TimeMs to;
  DurationMs answer_time{0};
};

/// A call to the store and when it ends.
struct PendingRead {
  std::uint64_t number = 0;
  TimeMs ends;
  ReadOutcome outcome = ReadOutcome::kUnanswered;
  std::uint64_t as_of = 0;
};

/// A store with a day of disruptions and changes drawn from a seed. Endpoints
/// write entries all the time; an answer brings a bounded number of events.
class SimulatedStore {
 public:
  explicit SimulatedStore(std::uint64_t seed) : m_random(seed) {
    DrawDisruptions();
    DrawSilencedConnections();
    DrawWrites();
  }

  /// A call that arrives at \p now, for what came after the revision.
  PendingRead Call(std::uint64_t after, const ReadOptions& options,
                   TimeMs now) {
    const Disruption* disruption = DisruptionAt(now);
    PendingRead read;
    read.ends = now + options.timeout;
    if (options.new_connection) m_connected = now;
    if (disruption && disruption->trouble == Trouble::kRefusing) {
      read.ends = now + kAnswerTime;
      read.outcome = ReadOutcome::kFailed;
      return read;
    }
    if (disruption && disruption->trouble == Trouble::kResetting) {
      read.ends = now + kAnswerTime;
      return read;
    }
    if (IsSilent(disruption) || HasFallenSilent(now)) return read;
    DurationMs answer_time = kAnswerTime;
    if (disruption) answer_time = disruption->answer_time;
    const TimeMs ready = std::clamp(NextWrite(after), now, now + options.wait);
    const TimeMs answered = ready + answer_time;
    if (answered > read.ends || IsCut(now, answered)) return read;
    read.ends = answered;
    const std::uint64_t newest = RevisionAt(ready);
    read.as_of = std::min(newest, after + kMaxEvents);
    read.outcome = IsChange(after, read.as_of) ? ReadOutcome::kChanged
                                               : ReadOutcome::kUnchanged;
    return read;
  }

  /// The latest time at which the change with the revision has to be known.
  TimeMs KnownBy(std::uint64_t revision) const {
    TimeMs by = m_writes[revision - 1].written + kMaxDelay;
    for (bool again = true; again;) {
      again = false;
      for (const Disruption& disruption : m_disruptions) {
        if (by < disruption.from || by >= disruption.to + kContactTime)
          continue;
        by = disruption.to + kContactTime;
        again = true;
      }
    }
    return by;
  }
  /// Whether calls get no answer from the store itself now.
  bool IsAway(TimeMs now) const {
    const Disruption* disruption = DisruptionAt(now);
    return disruption && disruption->trouble != Trouble::kSlow;
  }
  /// The most calls of one node to the store while it is away: four a second,
  /// and the first of each time.
  std::int64_t MostCallsWhileAway() const {
    std::int64_t calls = 0;
    for (const Disruption& disruption : m_disruptions) {
      if (disruption.trouble == Trouble::kSlow) continue;
      const DurationMs time = disruption.to - disruption.from;
      calls += 1 + (time.ms() * 4 + 999) / 1'000;
    }
    return calls;
  }
  /// The revisions of the changes.
  std::vector<std::uint64_t> Changes() const {
    std::vector<std::uint64_t> changes;
    for (std::size_t i = 0; i < m_writes.size(); ++i) {
      if (m_writes[i].is_change) changes.push_back(i + 1);
    }
    return changes;
  }

 private:
  static constexpr std::uint64_t kMaxEvents = 40;

  struct Write {
    TimeMs written;
    bool is_change = false;
  };

  std::int64_t Draw(std::int64_t from, std::int64_t to) {
    const auto span = static_cast<std::uint32_t>(to - from + 1);
    return from + static_cast<std::int64_t>(m_random(span));
  }

  void DrawDisruptions() {
    TimeMs at = kStart + DurationMs(Draw(2'000, 6'000));
    const std::int64_t count = Draw(1, 4);
    for (std::int64_t i = 0; i < count; ++i) {
      Disruption disruption;
      disruption.trouble = static_cast<Trouble>(Draw(0, 3));
      disruption.from = at;
      disruption.to = at + DurationMs(Draw(200, 11'000));
      disruption.answer_time = DurationMs(Draw(50, 2'500));
      m_disruptions.push_back(disruption);
      // Some follow at once: a slow store falls silent.
      at = disruption.to + DurationMs(Draw(0, 1) * Draw(0, 5'000));
    }
  }

  // All open connections fall silent for good; that is a disruption too.
  void DrawSilencedConnections() {
    if (Draw(0, 2) > 0) return;
    m_silenced = kStart + DurationMs(Draw(1'000, 30'000));
    m_disruptions.push_back(
        {Trouble::kSlow, *m_silenced, *m_silenced, kAnswerTime});
  }

  void DrawWrites() {
    constexpr std::int64_t kMaxPauseMs = 150;
    constexpr std::int64_t kWritesPerChange = 12;
    TimeMs at = kStart;
    while (at < kEnd) {
      const Disruption* disruption = DisruptionAt(at);
      const bool takes_writes =
          !disruption || disruption->trouble == Trouble::kSlow;
      if (takes_writes)
        m_writes.push_back({at, Draw(1, kWritesPerChange) == 1});
      at = at + DurationMs(Draw(1, kMaxPauseMs));
    }
  }

  const Disruption* DisruptionAt(TimeMs now) const {
    for (const Disruption& disruption : m_disruptions) {
      if (now >= disruption.from && now < disruption.to) return &disruption;
    }
    return nullptr;
  }
  static bool IsSilent(const Disruption* disruption) {
    return disruption && disruption->trouble == Trouble::kSilent;
  }
  bool HasFallenSilent(TimeMs now) const {
    return m_silenced && now >= *m_silenced && m_connected < *m_silenced;
  }
  // Whether a call under way in that time is lost.
  bool IsCut(TimeMs from, TimeMs to) const {
    if (m_silenced && *m_silenced > from && *m_silenced <= to) return true;
    return std::any_of(m_disruptions.begin(), m_disruptions.end(),
                       [=](const Disruption& disruption) {
                         return disruption.trouble != Trouble::kSlow &&
                                disruption.from > from && disruption.from <= to;
                       });
  }
  TimeMs NextWrite(std::uint64_t after) const {
    return after < m_writes.size() ? m_writes[after].written : kEnd;
  }
  std::uint64_t RevisionAt(TimeMs now) const {
    const auto end = std::upper_bound(
        m_writes.begin(), m_writes.end(), now,
        [](TimeMs time, const Write& write) { return time < write.written; });
    return static_cast<std::uint64_t>(end - m_writes.begin());
  }
  bool IsChange(std::uint64_t after, std::uint64_t as_of) const {
    for (std::uint64_t i = after; i < as_of; ++i) {
      if (m_writes[i].is_change) return true;
    }
    return false;
  }

  pcg32 m_random;
  std::vector<Disruption> m_disruptions;
  std::optional<TimeMs> m_silenced;
  std::vector<Write> m_writes;
  // When the connection that is kept was opened.
  TimeMs m_connected;
};

/// A node that reads by its plan.
class ReadingNode {
 public:
  explicit ReadingNode(SimulatedStore& store)
      : m_store(store),
        m_plan(NodeId("n"), FailureDomainId("d"), kMaxDelay, kStart) {}

  void Run() {
    for (TimeMs now = kStart; now < kEnd; now = now + DurationMs(1)) {
      EndReads(now);
      if (now >= m_plan.NextRead()) Begin(now);
    }
  }

  /// When the node knew the revision.
  TimeMs KnownAt(std::uint64_t revision) const {
    const auto known = std::find_if(
        m_known.begin(), m_known.end(),
        [=](const Known& item) { return item.revision >= revision; });
    return known == m_known.end() ? kEnd : known->at;
  }
  /// Reads that began while the store was away.
  std::int64_t reads_while_away() const { return m_reads_while_away; }

 private:
  struct Known {
    std::uint64_t revision = 0;
    TimeMs at;
  };

  void Begin(TimeMs now) {
    PendingRead read = m_store.Call(m_as_of, m_plan.NextReadOptions(), now);
    read.number = m_next++;
    if (m_store.IsAway(now)) ++m_reads_while_away;
    m_plan.OnReadBegun(now);
    m_pending.push_back(read);
  }

  void EndReads(TimeMs now) {
    for (std::size_t i = 0; i < m_pending.size();) {
      const PendingRead read = m_pending[i];
      if (read.ends > now) {
        ++i;
        continue;
      }
      m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(i));
      if (read.number >= m_first_counted) End(read, now);
    }
  }

  void End(const PendingRead& read, TimeMs now) {
    if (IsAnswer(read.outcome)) {
      m_as_of = read.as_of;
      m_known.push_back({read.as_of, now});
      m_first_counted = m_next;
    }
    m_plan.OnRead(read.outcome, now);
  }

  SimulatedStore& m_store;
  WatchPlan m_plan;
  std::vector<PendingRead> m_pending;
  std::uint64_t m_next = 0;
  std::int64_t m_reads_while_away = 0;
  std::uint64_t m_first_counted = 0;
  std::uint64_t m_as_of = 0;
  std::vector<Known> m_known;
};

}  // namespace

// A node that had been without the store knew of changes up to a second after
// it had to, by the moment at which the store came back.
TEST_CASE("Changes are known in time after any outage of the store",
          "[fleet][watch]") {
  constexpr std::uint64_t kSeeds = 2'000;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimulatedStore store(seed);
    ReadingNode node(store);
    node.Run();
    for (const std::uint64_t revision : store.Changes()) {
      const TimeMs by = store.KnownBy(revision);
      if (by >= kEnd || node.KnownAt(revision) <= by) continue;
      CAPTURE(seed, revision, by.ms(), node.KnownAt(revision).ms());
      FAIL_CHECK("known too late");
      break;
    }
    CAPTURE(seed);
    REQUIRE(node.reads_while_away() <= store.MostCallsWhileAway());
  }
}

}  // namespace yuccamoor::fleet
