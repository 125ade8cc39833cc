/// \file
/// \brief The exporter that writes spans to a file on a thread of its own.

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <thread>

#include "yuccamoor/transport/observability/tracer.h"

namespace yuccamoor {
namespace {

class FileSpanExporter final : public SpanExporter {
 public:
  FileSpanExporter(const SpanFileOptions& options, std::ofstream file)
      : m_options(options), m_file(std::move(file)) {
    m_thread = std::thread([this] { WriteLoop(); });
  }

  ~FileSpanExporter() override {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
  }

  void Export(SpanRecord span) override {
    {
      const std::lock_guard lock(m_mutex);
      if (m_queue.size() >= m_options.queue_limit) {
        ++m_dropped;
        return;
      }
      m_queue.push_back(std::move(span));
    }
    m_wake.notify_one();
  }

  std::uint64_t dropped() const override { return m_dropped; }

 private:
  void WriteLoop() {
    bool stopping = false;
    while (!stopping) {
      std::vector<SpanRecord> batch;
      {
        std::unique_lock lock(m_mutex);
        m_wake.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        batch.swap(m_queue);
        stopping = m_stopping;
      }
      if (!batch.empty()) Write(batch);
    }
  }

  void Write(const std::vector<SpanRecord>& batch) {
    m_file << EncodeSpans(m_options.service, batch) << '\n' << std::flush;
    if (m_file) return;
    m_dropped += batch.size();
    // A full disk may get room again.
    m_file.clear();
  }

  SpanFileOptions m_options;
  // Used by the writing thread only.
  std::ofstream m_file;
  std::atomic<std::uint64_t> m_dropped{0};
  std::mutex m_mutex;
  std::condition_variable m_wake;
  // Guarded by the mutex.
  std::vector<SpanRecord> m_queue;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace

Result<std::unique_ptr<SpanExporter>> MakeFileSpanExporter(
    const SpanFileOptions& options) {
  std::ofstream file(options.path, std::ios::app);
  if (!file) {
    return Findings(Finding{Place{options.path, "", 0, 0},
                            "cannot open the file for traces", ""});
  }
  return std::unique_ptr<SpanExporter>(
      std::make_unique<FileSpanExporter>(options, std::move(file)));
}

}  // namespace yuccamoor
