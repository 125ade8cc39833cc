/// \file
/// \brief The recent events of streams.

#include "yuccamoor/coordination/request/resume_table.h"

#include <algorithm>
#include <utility>

namespace yuccamoor {

ResumeTable::ResumeTable(const ResumeOptions& options) : m_options(options) {}

void ResumeTable::Open(const RequestId& request, TimeMs now, TokenIndex first) {
  if (m_streams.size() >= m_options.max_streams &&
      !m_streams.contains(request)) {
    m_streams.erase(std::min_element(
        m_streams.begin(), m_streams.end(), [](const auto& a, const auto& b) {
          return a.second.touched < b.second.touched;
        }));
  }
  Stream stream;
  stream.first = first;
  stream.touched = now;
  m_streams[request] = std::move(stream);
}

void ResumeTable::Append(const RequestId& request, std::string text,
                         TimeMs now) {
  const auto found = m_streams.find(request);
  if (found == m_streams.end()) return;
  Stream& stream = found->second;
  stream.touched = now;
  stream.bytes += text.size();
  stream.events.push_back(std::move(text));
  while (stream.bytes > m_options.max_stream_bytes) {
    stream.bytes -= stream.events.front().size();
    stream.events.pop_front();
    stream.first = stream.first.Next();
  }
}

void ResumeTable::AppendAt(const RequestId& request, TokenIndex index,
                           std::string text, TimeMs now) {
  const auto found = m_streams.find(request);
  if (found == m_streams.end()) return;
  const Stream& stream = found->second;
  const std::uint64_t next = stream.first.value() + stream.events.size();
  if (index.value() == next) Append(request, std::move(text), now);
}

void ResumeTable::Close(const RequestId& request, TimeMs now) {
  const auto found = m_streams.find(request);
  if (found == m_streams.end()) return;
  found->second.whole = true;
  found->second.touched = now;
}

void ResumeTable::Drop(const RequestId& request) { m_streams.erase(request); }

ResumeAnswer ResumeTable::Resume(const RequestId& request,
                                 TokenIndex next) const {
  ResumeAnswer answer;
  const auto found = m_streams.find(request);
  if (found == m_streams.end()) return answer;
  const Stream& stream = found->second;
  const std::uint64_t first = stream.first.value();
  // An index beyond the last event is no event id that this stream gave out.
  if (next.value() < first || next.value() > first + stream.events.size()) {
    answer.status = ResumeStatus::kGap;
    return answer;
  }
  answer.status = ResumeStatus::kOk;
  answer.first = next;
  const auto skip = static_cast<std::ptrdiff_t>(next.value() - first);
  answer.events.assign(stream.events.begin() + skip, stream.events.end());
  answer.whole = stream.whole;
  return answer;
}

void ResumeTable::Tick(TimeMs now) {
  std::erase_if(m_streams, [&](const auto& item) {
    return now - item.second.touched >= m_options.hold;
  });
}

}  // namespace yuccamoor
