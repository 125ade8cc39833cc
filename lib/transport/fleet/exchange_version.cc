#include "yuccamoor/transport/fleet/exchange.h"

namespace yuccamoor::fleet {

bool Exchange::NamesAdapter() const {
  return m_meta.adapter && !m_meta.adapter->name.empty();
}

AdapterRevision Exchange::VersionToExpect() const {
  const AdapterRevision newest =
      m_context.node.view.NewestRevision(*m_meta.adapter);
  if (!NamesAdapter() || newest.value() == 0) return {};
  // An older one may be replaced before the request is there, by one that
  // serves as well.
  return m_held_version < newest ? AdapterRevision() : m_held_version;
}

bool Exchange::HasBegun() const {
  // Only streams show when they begin. Others answer at their end.
  if (m_route.kind != RequestKind::kStream || m_has_output) return true;
  // A failure is being answered.
  if (m_call->has_head() && !CarriesEvents()) return true;
  return !m_cutter.AtBoundary() || !m_call->body().empty();
}

bool Exchange::TakeBackSuperseded(TimeMs now) {
  if (!NamesAdapter() || HasBegun()) return false;
  const AdapterRevision least =
      m_context.node.view.LeastRevisionToBegin(*m_meta.adapter, now);
  if (m_held_version >= least) return false;
  m_context.node.log.Event("superseded_before_beginning")
      .Text("request", m_meta.attempt.str())
      .Text("endpoint", m_endpoint.str())
      .Text("adapter", ToString(*m_meta.adapter))
      .Number("held_version", m_held_version.value())
      .Number("least_version", least.value())
      .Ms("after_ms", now - m_sent);
  // The engine may have begun just now.
  ++m_runs;
  EndCall(true, false);
  m_excluded.push_back(m_endpoint);
  if (IsIdempotent() && MayRepeat() && Retry("version superseded")) return true;
  GiveUp("version superseded before the request began", std::nullopt);
  return true;
}

void Exchange::LogOlderVersionBegun() {
  if (!NamesAdapter()) return;
  const FleetView& view = m_context.node.view;
  const AdapterRevision newest = view.NewestRevision(*m_meta.adapter);
  if (m_held_version >= newest) return;
  const TimeMs now = m_context.node.clock.Now();
  m_context.node.metrics.older_versions_begun.Add();
  m_context.node.log.Event("older_version_begun")
      .Text("request", m_meta.attempt.str())
      .Text("endpoint", m_endpoint.str())
      .Text("adapter", ToString(*m_meta.adapter))
      .Number("held_version", m_held_version.value())
      .Number("newest_version", newest.value())
      .Ms("newest_known_ms", view.NewestRevisionAge(*m_meta.adapter, now))
      .Ms("after_ms", now - m_sent);
}

}  // namespace yuccamoor::fleet
