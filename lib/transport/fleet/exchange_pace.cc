#include "yuccamoor/transport/fleet/exchange.h"

namespace yuccamoor::fleet {

void Exchange::NoteFirstEvent() {
  m_work_time_percent.reset();
  if (const auto& load = m_call->meta().load) {
    m_work_time_percent = load->work_time_percent;
  }
  // A resumed stream reads a part of its prompt only.
  if (!m_meta.adapter || m_sends > 1) return;
  m_observed = {m_endpoint, m_meta.prompt_tokens, m_load_when_sent, m_sent,
                m_context.node.clock.Now()};
  m_context.node.view.paces().OnFirstEvent(*m_observed, m_call->meta().load);
}

void Exchange::NoteStreamEnd() {
  if (!m_observed) return;
  m_context.node.view.paces().OnStreamEnd(*m_observed, m_cutter.events(),
                                          m_context.node.clock.Now());
  m_observed.reset();
}

}  // namespace yuccamoor::fleet
