/// \file
/// \brief Sound workers: model workers and plain ones, with their entries in
/// the store.

#ifndef YUCCAMOOR_REVIEW_COMMON_WORKERS_H_
#define YUCCAMOOR_REVIEW_COMMON_WORKERS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include "store.h"

namespace review {

inline constexpr char kModelName[] = "daka510000";
inline constexpr char kModelService[] = "huvo11a";
inline constexpr char kPlainService[] = "wuno96b";
inline constexpr char kHost[] = "ficu95.example";
inline constexpr char kStreamPath[] = "/pufi791/2f";
inline constexpr char kUnsafePath[] = "/puxa403/2f";
inline constexpr char kSafePath[] = "/cufi504/2f";

/// Writes the configuration: a resumable stream on the model service, a safe
/// and an unsafe route on the plain one.
void PutConfig(Store& store, std::uint64_t version);

/// Registers a worker and refreshes its entry at each heartbeat.
class Registration {
 public:
  Registration(Store& store, std::string id,
               std::function<std::string()> entry);
  ~Registration();
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

  const std::string& id() const { return m_id; }

 private:
  Store& m_store;
  std::string m_id;
  std::function<std::string()> m_entry;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

/// An order as a model worker received it.
struct ReceivedOrder {
  std::int64_t at = 0;
  std::string worker;
  std::string holder;
  std::uint64_t fence = 0;
  std::string text;
};

/// A model worker: holds one model, loads and unloads adapters by orders, and
/// serves streams of events.
class ModelWorker {
 public:
  using OnOrder = std::function<void(const ReceivedOrder& order)>;

  ModelWorker(Store& store, std::string id, std::string zone, OnOrder on_order);

  const std::string& id() const { return m_id; }
  /// Sets what answers in place of a stream; false if the stream shall begin.
  void SetTrouble(std::function<bool(int fd)> trouble);

 private:
  struct Adapter {
    std::int64_t ready_at = 0;
    int running = 0;
    // An unload waits for the runs to finish.
    bool leaving = false;
  };

  void Serve(int fd);
  bool Answer(int fd, const Message& request);
  std::string TakeOrder(const Message& request);
  std::string Report();
  bool Stream(int fd, const Message& request);
  std::string Entry();

  std::string m_id;
  std::string m_zone;
  OnOrder m_on_order;
  std::function<bool(int fd)> m_trouble;
  std::int64_t m_born;
  std::mutex m_mutex;
  std::map<std::string, Adapter> m_adapters;
  // Adapters that it has held: they load faster.
  std::set<std::string> m_known;
  std::uint64_t m_seq = 0;
  int m_active = 0;
  Server m_server;
  Registration m_registration;
};

/// A plain worker. The case says what it does with each connection.
class PlainWorker {
 public:
  PlainWorker(Store& store, std::string id, std::string zone,
              Server::Handler handler);

  const std::string& id() const { return m_registration.id(); }
  std::uint16_t port() const { return m_server.port(); }
  /// Reports from now on that it leaves.
  void Drain() { m_draining = true; }
  bool draining() const { return m_draining; }

 private:
  std::int64_t m_born;
  std::atomic<bool> m_draining = false;
  Server m_server;
  Registration m_registration;
};

/// Unix milliseconds, as workers state their start.
std::int64_t UnixMs();

/// Returns the entry of a plain worker. Without \p born, the field is missing.
std::string PlainEntry(std::uint16_t port, const std::string& zone,
                       const std::string& state,
                       std::optional<std::int64_t> born);

/// Returns the head and body of a sound worker's answer to a request.
std::string SoundAnswer(const Message& request, const std::string& worker,
                        const std::string& body);

}  // namespace review

#endif  // YUCCAMOOR_REVIEW_COMMON_WORKERS_H_
