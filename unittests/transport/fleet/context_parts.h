/// \file
/// \brief What parts of one node share, for tests of single parts.

#ifndef YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_CONTEXT_PARTS_H_
#define YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_CONTEXT_PARTS_H_

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <utility>

#include "platform/request_dialect.h"
#include "yuccamoor/transport/fleet/node_context.h"

namespace yuccamoor::fleet {

/// A node's context with all that it refers to, but for the clock.
struct ContextParts {
  ContextParts(const Clock& clock, NodeSettings node_settings)
      : settings(std::move(node_settings)),
        log(clock, STDERR_FILENO),
        registry(clock),
        metrics(registry),
        dialect(platform::CreateRequestDialect()),
        kept(io, clock),
        context{io, clock, settings, *dialect, view, log, metrics, kept} {}

  boost::asio::io_context io;
  NodeSettings settings;
  LineLog log;
  MetricsRegistry registry;
  NodeMetrics metrics;
  std::unique_ptr<RequestDialect> dialect;
  FleetView view;
  KeptBytes kept;
  NodeContext context;
};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_CONTEXT_PARTS_H_
