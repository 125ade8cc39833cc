/// \file
/// \brief What was sent, answered and run, with times from the trial's start.

#ifndef REVIEW_STANDINS_3_RECORD_H_
#define REVIEW_STANDINS_3_RECORD_H_

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

/// Appends lines to a file. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path, std::ios::app) {}

  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << (NowMs() - m_start) << " ms  " << text << std::endl;
  }
  /// Milliseconds since the start.
  std::int64_t Elapsed() const { return NowMs() - m_start; }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  std::int64_t m_start = NowMs();
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_RECORD_H_
