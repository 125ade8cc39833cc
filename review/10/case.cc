/// \file
/// \brief A request that crashes workers, repeated at once by its caller,
/// beside sound requests of a rare kind that share the first part of its
/// prompt.

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../standins-2/engine.h"

namespace review {
namespace {

constexpr std::int64_t kTimeoutMs = 15'000;
constexpr int kEngines = 5;
constexpr int kNodes = 3;
constexpr int kRareCallers = 2;
constexpr int kChatCallers = 4;
// One sound request of the rare kind every two seconds.
constexpr std::int64_t kRarePauseMs = 4'000;
constexpr std::int64_t kBeforeMs = 8'000;
constexpr std::int64_t kAfterMs = 50'000;
// A crashed worker is back after this.
constexpr std::int64_t kBackMs = 3'000;
// How often the deadly request comes.
constexpr int kRepeats = 4;
constexpr char kRarePart[] = "5c1e07a2";
constexpr char kChatPart[] = "77aa0113";
constexpr char kDeadly[] = "crashes workers";

std::string StreamRequest(const std::string& attempt, const std::string& path,
                          const std::string& first_part,
                          const std::string& own_part,
                          const std::string& body) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt +
         "\r\nModel: " + kModel +
         "/a1\r\nToken-Count: 628,80\r\nPrompt-Prefix: " + first_part +
         ":119," + own_part + ":509\r\nDeadline-Ms: 15000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};

  double Share() const { return sent == 0 ? 0 : 1.0 * served / sent; }
  std::string ToText() const {
    return std::to_string(served) + " of " + std::to_string(sent);
  }
};

// The workers, each of which is another process after a crash.
class Workers {
 public:
  Workers(Store& store, Record& record) : m_store(store), m_record(record) {
    for (int i = 0; i < kEngines; ++i) m_engines.push_back(Begin(i));
  }

  void Register() {
    const std::lock_guard lock(m_mutex);
    for (const auto& engine : m_engines) {
      if (!engine->ended()) engine->Register(m_store);
    }
  }

  int crashes() const { return m_crashes; }

  /// Ends workers that have got the deadly request, and starts others later.
  void Watch(const std::atomic<bool>& ends) {
    std::vector<std::int64_t> back_at(kEngines, 0);
    while (!ends) {
      SleepMs(5);
      const std::lock_guard lock(m_mutex);
      for (std::size_t i = 0; i < m_engines.size(); ++i) {
        std::unique_ptr<Engine>& engine = m_engines[i];
        if (engine->crashes() && !engine->ended()) {
          ++m_crashes;
          m_record.Line(engine->id() + " crashes");
          engine->End();
          m_store.Remove("servers/" + engine->id());
          back_at[i] = ElapsedMs() + kBackMs;
        } else if (engine->ended() && ElapsedMs() >= back_at[i]) {
          engine = Begin(static_cast<int>(i));
          m_record.Line(engine->id() + " is there");
        }
      }
    }
  }

 private:
  std::unique_ptr<Engine> Begin(int place) {
    EngineOptions options;
    options.id = "i-" + std::to_string(++m_last_id);
    options.zone = "a";
    options.ip = "127.0.2." + std::to_string(place + 1);
    options.deadly = kDeadly;
    return std::make_unique<Engine>(options, m_store, m_record);
  }

  Store& m_store;
  Record& m_record;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<Engine>> m_engines;
  int m_last_id = 0;
  std::atomic<int> m_crashes{0};
};

void Call(const NodeProcess& node, const std::string& path,
          const std::string& part, std::int64_t pause_ms, std::int64_t until,
          Record& record, Counts& counts) {
  while (ElapsedMs() < until) {
    const std::string attempt = NewAttempt();
    ++counts.sent;
    const Outcome outcome =
        Ask(node.front(),
            StreamRequest(attempt, path, part, attempt, "sound " + attempt),
            kTimeoutMs + 1'000);
    if (outcome.status == 200 && outcome.whole) ++counts.served;
    std::string line = path;
    line += " " + attempt + " at " + node.name() + ": status ";
    line += std::to_string(outcome.status) + ", Retry-After ";
    line += outcome.answer.Find("Retry-After") + ", after ";
    line += std::to_string(outcome.took_ms) + " ms";
    record.Line(line);
    SleepMs(pause_ms);
  }
}

int Play(const PlayOptions& options) {
  Record record(options.record);
  Store store("127.0.3.1");
  Json rare = StreamRoute(kTimeoutMs);
  rare["name"] = "r-rare";
  rare["prefix"] = "/rare/";
  store.Put("op/config",
            Json{{"version", 7},
                 {"routes", Json::array({StreamRoute(kTimeoutMs), rare})},
                 {"services", Json::array({EngineService()})},
                 {"limits", ClientLimits()}}
                .dump());
  Workers workers(store, record);
  std::vector<std::unique_ptr<NodeProcess>> nodes;
  for (int i = 0; i < kNodes; ++i) {
    const std::string number = std::to_string(i + 1);
    nodes.push_back(std::make_unique<NodeProcess>(
        kNodeProgram, options.folder,
        NodeOptions{"n" + number, "a", "127.0.1." + number, true},
        store.address()));
  }
  for (const auto& node : nodes) {
    if (!node->AwaitReady(10'000)) return kCouldNotRun;
  }
  std::atomic<bool> ends{false};
  std::thread watch([&] { workers.Watch(ends); });
  std::thread heartbeats([&] {
    while (!ends) {
      SleepMs(1'200);
      workers.Register();
    }
  });
  SleepMs(6'000);
  Counts chat;
  Counts rare_counts;
  const std::int64_t begin = ElapsedMs();
  const std::int64_t until = begin + kBeforeMs + kAfterMs;
  std::vector<std::thread> threads;
  threads.reserve(kRareCallers + kChatCallers);
  for (int i = 0; i < kRareCallers; ++i) {
    threads.emplace_back([&, i] {
      SleepMs(i * kRarePauseMs / kRareCallers);
      Call(*nodes[i % kNodes], "/rare/x", kRarePart, kRarePauseMs, until,
           record, rare_counts);
    });
  }
  for (int i = 0; i < kChatCallers; ++i) {
    threads.emplace_back([&, i] {
      Call(*nodes[i % kNodes], "/chat/x", kChatPart, 250, until, record, chat);
    });
  }
  SleepMs(kBeforeMs);
  for (int i = 0; options.trouble && i < kRepeats; ++i) {
    const Outcome outcome = Ask(
        nodes[i % kNodes]->front(),
        StreamRequest(NewAttempt(), "/rare/x", kRarePart, "e4402b7d", kDeadly),
        kTimeoutMs);
    record.Line("the deadly request: status " + std::to_string(outcome.status) +
                " after " + std::to_string(outcome.took_ms) + " ms");
    SleepMs(350);
  }
  for (std::thread& thread : threads) thread.join();
  ends = true;
  heartbeats.join();
  watch.join();
  record.Line("crashes " + std::to_string(workers.crashes()) +
              "; rare served " + rare_counts.ToText() + ", chat served " +
              chat.ToText());
  const double all =
      1.0 * (chat.served + rare_counts.served) / (chat.sent + rare_counts.sent);
  if (all < 0.5) return kCouldNotRun;
  return rare_counts.Share() * 4 < all ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
