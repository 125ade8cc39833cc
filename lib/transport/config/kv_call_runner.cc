/// \file
/// \brief Implementation of the runner of key-value calls.

#include "yuccamoor/transport/config/kv_call_runner.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace yuccamoor {
namespace {

constexpr DurationMs kCallTimeout{2'000};

/// A reply with its call.
struct Arrival {
  KvCallId id;
  KvReply reply;
};

/// Brings replies from the service's threads to the caller's. Shared with the
/// callbacks, as a late one may outlive the run.
class Inbox {
 public:
  void Put(Arrival arrival) {
    {
      const std::lock_guard lock(m_mutex);
      m_arrivals.push_back(std::move(arrival));
    }
    m_arrived.notify_one();
  }

  /// Waits for arrivals, at most for the given time.
  std::vector<Arrival> Take(DurationMs wait) {
    std::unique_lock lock(m_mutex);
    m_arrived.wait_for(lock, std::chrono::milliseconds(wait.ms()),
                       [this] { return !m_arrivals.empty(); });
    return std::exchange(m_arrivals, {});
  }

 private:
  // Guards m_arrivals; no other lock is taken while it is held.
  std::mutex m_mutex;
  std::condition_variable m_arrived;
  std::vector<Arrival> m_arrivals;
};

/// One run: the calls that wait for their time, and those under way.
class Run {
 public:
  Run(KeyValueService& service, const Clock& clock)
      : m_service(service), m_clock(clock) {}

  void Add(KvCalls calls) {
    const TimeMs now = m_clock.Now();
    for (KvCall& call : calls) {
      m_waiting.emplace(now + call.delay, std::move(call));
    }
  }

  void SendDue() {
    const TimeMs now = m_clock.Now();
    while (!m_waiting.empty() && m_waiting.begin()->first <= now) {
      KvCall call = std::move(m_waiting.extract(m_waiting.begin()).mapped());
      ++m_under_way;
      m_service.Call(std::move(call.request), kCallTimeout,
                     [inbox = m_inbox, id = call.id](KvReply reply) {
                       inbox->Put({id, std::move(reply)});
                     });
    }
  }

  std::vector<Arrival> Take(TimeMs deadline) {
    TimeMs until = deadline;
    if (!m_waiting.empty()) until = std::min(until, m_waiting.begin()->first);
    const DurationMs wait = until - m_clock.Now();
    auto arrivals = m_inbox->Take(std::max(wait, DurationMs(0)));
    m_under_way -= arrivals.size();
    return arrivals;
  }

  bool done() const { return m_waiting.empty() && m_under_way == 0; }

 private:
  KeyValueService& m_service;
  const Clock& m_clock;
  std::shared_ptr<Inbox> m_inbox = std::make_shared<Inbox>();
  std::multimap<TimeMs, KvCall> m_waiting;
  std::size_t m_under_way = 0;
};

}  // namespace

bool RunKvCalls(KeyValueService& service, const Clock& clock, TimeMs deadline,
                KvCalls first, const KvReplyHandler& on_reply) {
  Run run(service, clock);
  run.Add(std::move(first));
  while (!run.done()) {
    if (clock.Now() >= deadline) return false;
    run.SendDue();
    for (const Arrival& arrival : run.Take(deadline)) {
      run.Add(on_reply(arrival.id, arrival.reply));
    }
  }
  return true;
}

}  // namespace yuccamoor
