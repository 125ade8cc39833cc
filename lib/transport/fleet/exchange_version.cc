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
