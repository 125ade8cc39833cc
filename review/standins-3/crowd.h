/// \file
/// \brief Clients that do not behave: many at once, with bodies of legal size
/// in small pieces.

#ifndef REVIEW_STANDINS_3_CROWD_H_
#define REVIEW_STANDINS_3_CROWD_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

namespace review {

struct CrowdOptions {
  std::string ip;
  std::uint16_t port = 0;
  std::string path;
  std::size_t clients = 0;
  std::size_t body_bytes = 4'000'000;
  std::size_t piece_bytes = 4'096;
  std::int64_t pause_ms = 600;
};

/// Keeps that many connections open. Each sends a piece of its body after each
/// pause, and one that was closed begins anew.
class Crowd {
 public:
  explicit Crowd(CrowdOptions options);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  std::size_t connections_begun() const { return m_begun; }

 private:
  void Run();

  CrowdOptions m_options;
  std::atomic<bool> m_stopping = false;
  std::atomic<std::size_t> m_begun = 0;
  std::thread m_thread;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_CROWD_H_
