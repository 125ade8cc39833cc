/// \file
/// \brief Puts the frames of one streamed answer in order.

#include "yuccamoor/coordination/request/stream_assembler.h"

#include <stdexcept>
#include <utility>

namespace yuccamoor {

StreamAssembler::StreamAssembler(RequestId request, AdapterVersion target,
                                 std::size_t max_held)
    : m_request(std::move(request)),
      m_target(std::move(target)),
      m_max_held(max_held) {}

StreamAssembler StreamAssembler::Resumed(RequestId request,
                                         AdapterVersion target,
                                         const InstanceId& instance,
                                         TokenIndex next,
                                         std::size_t max_held) {
  StreamAssembler assembler(std::move(request), std::move(target), max_held);
  assembler.m_instance = instance;
  assembler.m_next = next;
  return assembler;
}

bool StreamAssembler::CanAttempt(const InstanceId& instance) const {
  if (m_void) return false;
  return m_next == TokenIndex(0) || instance == m_instance;
}

TokenIndex StreamAssembler::StartAttempt(AttemptNumber attempt,
                                         const InstanceId& instance) {
  if (!CanAttempt(instance)) {
    throw std::logic_error("the answer cannot go on with this attempt");
  }
  if (instance != m_instance) {
    m_held.clear();
    m_total.reset();
  }
  m_attempt = attempt;
  m_instance = instance;
  return m_next;
}

FrameVerdict StreamAssembler::Reject() {
  m_void = true;
  m_held.clear();
  return FrameVerdict::kMismatch;
}

FrameVerdict StreamAssembler::OnFrame(const TokenFrame& frame) {
  if (m_void) return FrameVerdict::kVoid;
  if (frame.request != m_request || frame.attempt != m_attempt ||
      frame.instance != m_instance) {
    return FrameVerdict::kForeign;
  }
  if (frame.target != m_target) return Reject();
  if (frame.done) return OnDone(frame);
  if (m_total && frame.index >= *m_total) return Reject();
  if (frame.index < m_next) return FrameVerdict::kDuplicate;
  const auto held = m_held.find(frame.index);
  if (held != m_held.end()) {
    return held->second == frame.text ? FrameVerdict::kDuplicate : Reject();
  }
  if (m_held.size() >= m_max_held) return FrameVerdict::kOverflow;
  m_held.emplace(frame.index, frame.text);
  return FrameVerdict::kAccepted;
}

FrameVerdict StreamAssembler::OnDone(const TokenFrame& frame) {
  if (m_total) {
    return *m_total == frame.index ? FrameVerdict::kDuplicate : Reject();
  }
  if (frame.index < m_next) return Reject();
  if (!m_held.empty() && m_held.rbegin()->first >= frame.index) return Reject();
  m_total = frame.index;
  return FrameVerdict::kAccepted;
}

std::vector<std::string> StreamAssembler::Take() {
  std::vector<std::string> ready;
  while (!m_held.empty() && m_held.begin()->first == m_next) {
    ready.push_back(std::move(m_held.begin()->second));
    m_held.erase(m_held.begin());
    m_next = m_next.Next();
  }
  return ready;
}

bool StreamAssembler::Whole() const {
  return !m_void && m_total && m_next == *m_total;
}

}  // namespace yuccamoor
