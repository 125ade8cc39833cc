/// \file
/// \brief Tests of a node before clients that do not behave.

#include "clients/crowd.h"

#include <catch2/catch.hpp>
#include <string>

#include "clients/node_under_test.h"

namespace yuccamoor {
namespace {

constexpr std::size_t kMegabyte = 1'048'576;
constexpr std::size_t kCrowd = 300;
// Chunks and pieces are this small.
constexpr std::size_t kSmallPiece = 1'000;
constexpr char kEnd[] = "\r\n\r\n";

struct Door {
  const char* name;
  std::uint16_t (NodeUnderTest::*port)() const;
  const char* path;
};

// A routed path, one without a route, and the readiness probe's.
constexpr Door kDoors[] = {
    {"routed", &NodeUnderTest::front_port, kHeldPath},
    {"unrouted", &NodeUnderTest::front_port, kUnroutedPath},
    {"ready", &NodeUnderTest::ready_port, kReadyPath}};

std::string Head(const Door& door, const std::string& method,
                 const std::string& fields) {
  return method + " " + door.path + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nAttempt-Id: 0123456789abcdef\r\n" + fields;
}

std::string LengthHead(const Door& door, std::size_t length) {
  return Head(door, "POST", "Content-Length: " + std::to_string(length) + kEnd);
}

// A body of the largest size in chunks, without its last one.
Behaviour Chunks(const Door& door) {
  Behaviour chunks;
  chunks.first =
      Head(door, "POST", std::string("Transfer-Encoding: chunked") + kEnd);
  chunks.repeated = "3e8\r\n" + std::string(kSmallPiece, 'x') + "\r\n";
  chunks.times = kMaxBodyBytes / kSmallPiece;
  return chunks;
}

std::string ManyFields(std::size_t bytes) {
  std::string fields;
  while (fields.size() < bytes) fields += "a:\r\n";
  return fields;
}

void CheckStands(NodeUnderTest& node) {
  REQUIRE(node.Running());
  CHECK(IsServed(node.front_port(), RequestText(kOrdinaryPath)));
  CHECK(IsServed(node.ready_port(), RequestText(kReadyPath)));
  REQUIRE(node.Running());
  node.Sample();
  CAPTURE(node.peak_memory() / kMegabyte);
  CHECK(node.peak_sockets() <= kMaxDescriptors - kFileDescriptors);
  // Sanitizers take up memory of their own.
  if (!YUCCAMOOR_SANITIZED) {
    CHECK(node.peak_memory() <= kMemoryMegabytes * kMegabyte);
  }
}

template <class Fill>
void PlayAtDoors(Fill fill, int rounds = 400) {
  for (const Door& door : kDoors) {
    INFO("door: " << door.name);
    NodeUnderTest node;
    Crowd crowd((node.*door.port)());
    fill(crowd, door);
    crowd.Play(node, rounds);
    CheckStands(node);
  }
}

}  // namespace

// Failure: what clients send is refused also when there is room for it.
TEST_CASE("A body of the largest size is served by a node in calm") {
  NodeUnderTest node;
  const std::string body(kMaxBodyBytes, 'x');
  CHECK(IsServed(node.front_port(), RequestText(kOrdinaryPath, body)));
  CheckStands(node);
}

// Failure: bodies of all connections were more than the process may keep.
TEST_CASE("A node bears large bodies that stop short of their end") {
  PlayAtDoors([](Crowd& crowd, const Door& door) {
    Behaviour body;
    body.first = LengthHead(door, kMaxBodyBytes);
    body.repeated = std::string(kMaxBodyBytes - 1, 'x');
    body.times = 1;
    crowd.Add(kCrowd / 2, body);
    body.repeated += 'x';
    crowd.Add(kCrowd / 6, body);
  });
}

// Failure: as above, for what comes in many reads.
TEST_CASE("A node bears bodies in small pieces that stop short of their end") {
  PlayAtDoors([](Crowd& crowd, const Door& door) {
    Behaviour body;
    body.first = LengthHead(door, kMaxBodyBytes);
    body.repeated = std::string(kMaxBodyBytes - 1, 'x');
    body.times = 1;
    body.piece = kSmallPiece;
    body.pieces_a_round = 64;
    crowd.Add(kCrowd / 2, body);
  });
}

// Failure: as above, for bodies whose size is not known before.
TEST_CASE("A node bears bodies in chunks that stop short of their end") {
  PlayAtDoors([](Crowd& crowd, const Door& door) {
    crowd.Add(kCrowd / 2, Chunks(door));
  });
}

// Failure: what is refused is kept, or read without end.
TEST_CASE("A node bears bodies far over the limit") {
  PlayAtDoors([](Crowd& crowd, const Door& door) {
    constexpr std::size_t kTimes = 16;
    Behaviour body;
    body.first = LengthHead(door, kTimes * kMaxBodyBytes);
    body.repeated = std::string(kMaxBodyBytes, 'x');
    body.times = kTimes;
    crowd.Add(kCrowd / 4, body);
    Behaviour chunks = Chunks(door);
    chunks.times *= kTimes;
    crowd.Add(kCrowd / 4, chunks);
  });
}

// Failure: a field takes up many times its bytes, and waiting requests were not
// counted.
TEST_CASE("A node bears requests of very many short fields") {
  PlayAtDoors([](Crowd& crowd, const Door& door) {
    constexpr std::size_t kRest = 512;
    const std::string fields = ManyFields(kMaxHeaderBytes - kRest);
    Behaviour whole;
    whole.first = Head(door, "GET", fields + "\r\n");
    crowd.Add(kCrowd / 3, whole);
    Behaviour head;
    head.first = Head(door, "GET", fields);
    crowd.Add(kCrowd / 6, head);
    Behaviour body;
    body.first = Head(door, "POST", fields + "Content-Length: 9" + kEnd);
    crowd.Add(kCrowd / 3, body);
  });
}

// Failure: requests sent ahead, and the answers to them, were kept without
// bound.
TEST_CASE("A node bears requests sent ahead whose answers are not read") {
  PlayAtDoors([](Crowd& crowd, const Door& door) {
    Behaviour ahead;
    ahead.repeated = Head(door, "GET", "\r\n");
    ahead.times = 20'000;
    crowd.Add(kCrowd / 2, ahead);
  });
}

// Failure: connections took up more descriptors than the process may have.
TEST_CASE("A node bears silent connections") {
  PlayAtDoors([](Crowd& crowd, const Door&) { crowd.Add(kCrowd, {}); });
}

// Failure: as above; a byte now and then is no reason to keep a connection.
TEST_CASE("A node bears clients that send very slowly") {
  PlayAtDoors(
      [](Crowd& crowd, const Door& door) {
        Behaviour slow;
        slow.first = LengthHead(door, kSmallPiece);
        slow.piece = 1;
        slow.pieces_a_round = 1;
        crowd.Add(kCrowd, slow);
      },
      150);
}

// Failure: answers that wait for their clients took up the memory.
TEST_CASE("A node bears clients that read very slowly") {
  NodeUnderTest node;
  Crowd crowd(node.front_port());
  Behaviour slow;
  slow.first = RequestText(kLongPath);
  slow.reads_a_round = 1;
  crowd.Add(kCrowd, slow);
  crowd.Play(node, 150);
  CheckStands(node);
}

// Failure: connections whose clients will not go on kept others out.
TEST_CASE("A node bears clients that stop half-way") {
  PlayAtDoors([](Crowd& crowd, const Door& door) {
    Behaviour in_head;
    in_head.first = Head(door, "GET", "Accept: a");
    crowd.Add(kCrowd / 3, in_head);
    Behaviour in_body;
    in_body.first = LengthHead(door, kSmallPiece) + "half";
    crowd.Add(kCrowd / 3, in_body);
    Behaviour in_chunk;
    in_chunk.first =
        Head(door, "POST", std::string("Transfer-Encoding: chunked") + kEnd) +
        "3e8\r\nhalf";
    crowd.Add(kCrowd / 3, in_chunk);
  });
}

}  // namespace yuccamoor
