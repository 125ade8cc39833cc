/// \file
/// \brief A worker that is removed at short notice says so in its answers,
/// while the store is away.

#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../standins-2/engine.h"

namespace review {
namespace {

constexpr std::int64_t kDrainMs = 2'000;
constexpr std::int64_t kHeartbeatMs = 1'200;
// The store removes the entry of a worker that is silent for so long.
constexpr std::int64_t kSilenceMs = 3 * kHeartbeatMs;
constexpr std::int64_t kNoticeMs = 3'300;
// More than a small fleet has.
constexpr int kEngines = 6;
constexpr int kNodes = 18;
constexpr std::size_t kFronts = 12;
constexpr int kCallersPerFront = 2;
constexpr int kAdapters = 3;

std::string ChatRequest(const std::string& attempt,
                        const std::string& adapter) {
  return "POST /chat/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " +
         attempt + "\r\nModel: " + kModel + "/" + adapter +
         "\r\nToken-Count: 100,20\r\nPrompt-Prefix: 5c1e07a2:40,e4402b7d:60"
         "\r\nDeadline-Ms: 15000\r\nContent-Length: 200\r\n\r\n" +
         std::string(200, 'x');
}

struct Sent {
  std::string node;
  std::int64_t at = 0;
};

// A node, and a worker that leaves.
using Pair = std::pair<std::string, std::string>;

// What the clients and the workers that leave have seen.
class Sight {
 public:
  explicit Sight(Record& record) : m_record(record) {}

  void OnSent(const std::string& attempt, const std::string& node) {
    const std::lock_guard lock(m_mutex);
    m_sent[attempt] = {node, ElapsedMs()};
  }

  void OnAnswer(const std::string& node, const std::string& attempt,
                const Outcome& outcome) {
    const std::lock_guard lock(m_mutex);
    ++m_answers[outcome.whole ? outcome.status : 0];
    const bool is_served = outcome.status == 200 && outcome.whole;
    if (!is_served && m_late_attempts.contains(attempt)) ++m_lost;
    if (outcome.answer.Find("Server-Leaving") != "1") return;
    const std::string worker = outcome.answer.Find("Response-Stamp");
    if (!m_passed_on.emplace(Pair(node, worker), ElapsedMs()).second) return;
    m_record.Line(node + " has passed on an answer of " + worker +
                  " with Server-Leaving");
  }

  /// A request reaches a worker that leaves.
  void OnArrival(const std::string& worker, const std::string& attempt) {
    const std::lock_guard lock(m_mutex);
    const auto sent = m_sent.find(attempt);
    if (sent == m_sent.end()) return;
    const auto passed = m_passed_on.find(Pair(sent->second.node, worker));
    if (passed == m_passed_on.end()) return;
    const std::int64_t late = sent->second.at - passed->second;
    if (late <= kDrainMs) return;
    ++m_late;
    m_late_attempts.insert(attempt);
    m_record.Line(worker + " gets " + attempt + " from " + sent->second.node +
                  ", sent " + std::to_string(late) + " ms after that answer");
  }

  int late() const { return m_late; }
  int lost() const { return m_lost; }
  std::size_t passed_on() {
    const std::lock_guard lock(m_mutex);
    return m_passed_on.size();
  }
  int answers(int status) {
    const std::lock_guard lock(m_mutex);
    return m_answers[status];
  }

 private:
  Record& m_record;
  std::mutex m_mutex;
  std::map<std::string, Sent> m_sent;
  std::map<Pair, std::int64_t> m_passed_on;
  std::map<int, int> m_answers;
  std::set<std::string> m_late_attempts;
  std::atomic<int> m_late{0};
  std::atomic<int> m_lost{0};
};

void Call(const NodeProcess& node, int caller, const std::atomic<bool>& ends,
          Record& record, Sight& sight) {
  const std::string adapter = "a" + std::to_string(caller % kAdapters + 1);
  int calls = 0;
  while (!ends) {
    const std::string attempt = NewAttempt();
    sight.OnSent(attempt, node.name());
    const Outcome outcome =
        Ask(node.front(), ChatRequest(attempt, adapter), 16'000);
    sight.OnAnswer(node.name(), attempt, outcome);
    record.Line(attempt + " at " + node.name() + ": status " +
                std::to_string(outcome.status) + " after " +
                std::to_string(outcome.took_ms) + " ms");
    // Callers do not keep step.
    SleepMs(10 + (caller * 37 + ++calls * 53) % 90);
  }
}

int Play(const PlayOptions& options) {
  Record record(options.record);
  Sight sight(record);
  Store store("127.0.3.1");
  store.Put("op/config", Json{{"version", 7},
                              {"routes", Json::array({StreamRoute(15'000)})},
                              {"services", Json::array({EngineService()})},
                              {"limits", ClientLimits()}}
                             .dump());
  std::vector<std::unique_ptr<Engine>> engines;
  const std::vector<std::string> zones{"a", "b", "c"};
  for (int i = 0; i < kEngines; ++i) {
    const std::string number = std::to_string(i + 1);
    engines.push_back(std::make_unique<Engine>(
        EngineOptions{"i-" + number, zones[i % 3], "127.0.2." + number}, store,
        record));
  }
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  for (int i = 0; i < kNodes; ++i) {
    const std::string number = std::to_string(i + 1);
    nodes.push_back(std::make_unique<NodeProcess>(
        kNodeProgram, options.folder,
        NodeOptions{"n" + number, zones[i % 3], "127.0.1." + number, true},
        store.address()));
  }
  for (const auto& node : nodes) {
    if (!node->AwaitReady(15'000)) return kCouldNotRun;
  }
  std::atomic<bool> ends{false};
  // Its heartbeats do not reach the store any more.
  std::atomic<const Engine*> cut_off{nullptr};
  std::thread heartbeats([&] {
    while (!ends) {
      SleepMs(kHeartbeatMs);
      for (const auto& engine : engines) {
        if (engine.get() != cut_off) engine->Register(store);
      }
    }
  });
  SleepMs(10'000);
  // The few clients come to nodes that hold no worker.
  const std::vector<std::string> holders = store.ValuesOf("holder/");
  std::vector<const NodeProcess*> fronts;
  for (const auto& node : nodes) {
    const std::string value = EncodeBase64(node->name());
    const bool holds =
        std::find(holders.begin(), holders.end(), value) != holders.end();
    if (!holds && fronts.size() < kFronts) fronts.push_back(node.get());
  }
  std::vector<std::thread> threads;
  threads.reserve(fronts.size() * kCallersPerFront);
  for (const NodeProcess* front : fronts) {
    for (int i = 0; i < kCallersPerFront; ++i) {
      const int caller = static_cast<int>(threads.size());
      threads.emplace_back(
          [&, front, caller] { Call(*front, caller, ends, record, sight); });
    }
  }
  SleepMs(8'000);
  Engine* leaving = engines.front().get();
  for (const auto& engine : engines) {
    if (engine->runs() > leaving->runs()) leaving = engine.get();
  }
  const int served_before = sight.answers(200);
  leaving->on_request = [&](const std::string& attempt) {
    sight.OnArrival(leaving->id(), attempt);
  };
  record.Line(leaving->id() + " leaves");
  if (options.trouble) cut_off = leaving;
  leaving->SayLeaving();
  if (!options.trouble) leaving->Register(store);
  SleepMs(kNoticeMs);
  record.Line(leaving->id() + " is gone");
  cut_off = leaving;
  leaving->End();
  if (options.trouble) SleepMs(kSilenceMs - kNoticeMs);
  store.Remove("servers/" + leaving->id());
  SleepMs(1'000);
  ends = true;
  for (std::thread& thread : threads) thread.join();
  heartbeats.join();
  record.Line("served before " + std::to_string(served_before) + ", in all " +
              std::to_string(sight.answers(200)) + ", 503 " +
              std::to_string(sight.answers(503)) +
              "; answers by which a node knew " +
              std::to_string(sight.passed_on()) + "; late requests " +
              std::to_string(sight.late()) + ", of these not served " +
              std::to_string(sight.lost()));
  if (served_before < 100) return kCouldNotRun;
  if (options.trouble && sight.passed_on() == 0) return kCouldNotRun;
  return sight.late() > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
