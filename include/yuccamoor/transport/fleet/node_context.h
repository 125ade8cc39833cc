/// \file
/// \brief What the parts of one node share.

#ifndef YUCCAMOOR_TRANSPORT_FLEET_NODE_CONTEXT_H_
#define YUCCAMOOR_TRANSPORT_FLEET_NODE_CONTEXT_H_

#include <boost/asio/io_context.hpp>

#include "yuccamoor/coordination/fleet/fleet_view.h"
#include "yuccamoor/protocol/fleet/request_dialect.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/fleet/node_settings.h"
#include "yuccamoor/transport/fleet/kept_bytes.h"
#include "yuccamoor/transport/fleet/node_metrics.h"
#include "yuccamoor/transport/observability/line_log.h"

namespace yuccamoor::fleet {

/// References to what lives as long as the node. One thread uses it all.
struct NodeContext {
  boost::asio::io_context& io;
  const Clock& clock;
  const NodeSettings& settings;
  const RequestDialect& dialect;
  FleetView& view;
  LineLog& log;
  NodeMetrics& metrics;
  KeptBytes& kept;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_TRANSPORT_FLEET_NODE_CONTEXT_H_
