/// \file
/// \brief Tests of datagrams to other nodes.

#include "yuccamoor/transport/fleet/peer_link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "transport/fleet/context_parts.h"

namespace yuccamoor::fleet {
namespace {

using boost::asio::ip::udp;

constexpr char kIp[] = "127.0.0.1";

NodeSettings Settings() {
  NodeSettings settings;
  settings.node = NodeId("n1");
  settings.peer_address = {kIp, 0};
  return settings;
}

}  // namespace

// What a starting node sent first was lost: it had looked for other nodes just
// before it read of them.
TEST_CASE("A node that has just been registered is reached at once",
          "[fleet][peer]") {
  ManualClock clock;
  clock.Advance(DurationMs(10'000));
  ContextParts parts(clock, Settings());
  auto link = PeerLink::Create(parts.context, [](const PeerMessage&, bool) {});
  REQUIRE(link);
  udp::socket peer(parts.io, {boost::asio::ip::make_address(kIp), 0});
  const TellMissing message{EndpointId("e1"), {ModelId("m"), "a1"}};
  link.value()->Broadcast(message);
  NodeRecord record;
  record.peer_address = {kIp, peer.local_endpoint().port()};
  parts.view.Apply(RecordWritten{FleetView::NodeKey(NodeId("n2")),
                                 EncodeNodeRecord(record), Revision(1)},
                   clock.Now());
  link.value()->Send(NodeId("n2"), message);
  // A datagram on the loopback is there as soon as it has been sent.
  std::string got(1'000, '\0');
  peer.non_blocking(true);
  boost::system::error_code error;
  got.resize(peer.receive(boost::asio::buffer(got), 0, error));
  CHECK_FALSE(error);
  CHECK(got == EncodePeerMessage(message));
}

}  // namespace yuccamoor::fleet
