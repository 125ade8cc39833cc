/// \file
/// \brief The recent events of a gateway's streams, shared by its threads.

#ifndef YUCCAMOOR_LIB_TRANSPORT_GATEWAY_RESUME_STORE_H_
#define YUCCAMOOR_LIB_TRANSPORT_GATEWAY_RESUME_STORE_H_

#include <mutex>
#include <string>
#include <utility>

#include "yuccamoor/coordination/request/resume_table.h"
#include "yuccamoor/protocol/request/stream_event_id.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor {

/// Safe to use from several threads; its mutex is a leaf of the lock order.
class ResumeStore {
 public:
  explicit ResumeStore(const Clock& clock)
      : m_clock(clock), m_table(ResumeOptions()) {}

  /// The key of a stream: whoever names it knows the unguessable generation,
  /// and gets no text under the name of another target or request.
  static RequestId KeyOf(const StreamHandle& stream);

  /// Adds the stream with \p first as its first event, if it is not there.
  void Open(const RequestId& key, TokenIndex first) {
    const std::lock_guard lock(m_mutex);
    if (!m_table.Contains(key)) m_table.Open(key, m_clock.Now(), first);
  }
  void Append(const RequestId& key, TokenIndex index, std::string text) {
    const std::lock_guard lock(m_mutex);
    m_table.AppendAt(key, index, std::move(text), m_clock.Now());
  }
  /// Marks the stream as whole.
  void Close(const RequestId& key) {
    const std::lock_guard lock(m_mutex);
    m_table.Close(key, m_clock.Now());
  }
  void Drop(const RequestId& key) {
    const std::lock_guard lock(m_mutex);
    m_table.Drop(key);
  }
  ResumeAnswer Resume(const RequestId& key, TokenIndex next) const {
    const std::lock_guard lock(m_mutex);
    return m_table.Resume(key, next);
  }
  /// Forgets what is old.
  void Tick() {
    const std::lock_guard lock(m_mutex);
    m_table.Tick(m_clock.Now());
  }

 private:
  const Clock& m_clock;
  mutable std::mutex m_mutex;
  ResumeTable m_table;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_LIB_TRANSPORT_GATEWAY_RESUME_STORE_H_
