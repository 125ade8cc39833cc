/// \file
/// \brief Tests of the headers that clients and endpoints speak.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "platform/request_dialect.h"

namespace yuccamoor::platform {
namespace {

fleet::HttpHead ClientHead() {
  fleet::HttpHead head;
  head.method = "POST";
  head.target = "/p/2f?x=1";
  head.fields = {{"Host", "h.example"},
                 {"Attempt-Id", "9c41"},
                 {"Model", "m/a3"},
                 {"Token-Count", "1460,80"},
                 {"Deadline-Ms", "15000"},
                 {"Connection", "keep-alive"},
                 {"Content-Length", "2"},
                 {"Prompt-Prefix", "5c:800"},
                 {"Hold", "h1"},
                 {"Pin-Ms", "400"},
                 {"Kv-From", "1.2.3.4:5/x"},
                 {"Request-Priority", "0"},
                 {"Expect-Instance", "other"},
                 {"Expect-Version", "9"},
                 {"Last-Event-Id", "4"}};
  return head;
}

fleet::Forwarding ToEngine() {
  fleet::Forwarding forwarding;
  forwarding.endpoint = EndpointId("i-7");
  forwarding.deadline = DurationMs(14'900);
  forwarding.priority = 3;
  forwarding.version = fleet::AdapterRevision(2);
  return forwarding;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("All parts of a prompt but the last one may be shared",
          "[platform][dialect]") {
  const auto dialect = CreateRequestDialect();
  const auto shared = [&](const std::string& prefix) {
    fleet::HttpHead head;
    head.fields = {{"Prompt-Prefix", prefix}};
    return dialect->DecodeRequest(head).shared_parts;
  };
  CHECK(shared("5c:800,91:410,e4:250") ==
        std::vector<fleet::PromptPartId>{fleet::PromptPartId("5c"),
                                         fleet::PromptPartId("91")});
  CHECK(shared("5c:800").empty());
  CHECK(shared("").empty());
  std::string endless;
  for (int i = 0; i < 1'000; ++i) endless += std::to_string(i) + ":1,";
  CHECK(shared(endless).size() == 64);
  CHECK(shared(std::string(1'000, 'f') + ":1,e4:2").empty());
}

TEST_CASE("What an endpoint states of the requests that it takes is read",
          "[platform][dialect][intake]") {
  const auto dialect = CreateRequestDialect();
  const auto intake = [&](int status, const std::string& name,
                          const std::string& value) {
    fleet::HttpHead head;
    head.status = status;
    head.fields = {{name, value}};
    return dialect->DecodeResponse(head).intake;
  };
  SECTION("a limit") {
    CHECK(intake(200, "Server-Limit", "1.5").requests_per_second == 1.5);
    CHECK(intake(503, "server-limit", "0").requests_per_second == 0.0);
    CHECK_FALSE(intake(200, "Other", "1").limited);
  }
  SECTION("a limit that cannot be read") {
    for (const std::string text :
         {"", "x", "-1", "1.5x", "nan", "inf", "0x10", "1e3", "1,5"}) {
      CAPTURE(text);
      CHECK(intake(200, "Server-Limit", text).limited);
      CHECK_FALSE(intake(200, "Server-Limit", text).requests_per_second);
    }
    const std::string endless(10'000, '9');
    CHECK_FALSE(intake(200, "Server-Limit", endless).requests_per_second);
  }
  SECTION("leaving") {
    CHECK(intake(200, "Server-Leaving", "1").leaving);
    CHECK_FALSE(intake(200, "Server-Leaving", "0").leaving);
    CHECK_FALSE(intake(200, "Other", "1").leaving);
  }
  SECTION("a pause") {
    CHECK(intake(503, "Retry-After", "2").retry_after == DurationMs(2'000));
    CHECK(intake(503, "Retry-After", "0.25").retry_after == DurationMs(250));
    CHECK_FALSE(intake(200, "Retry-After", "2").retry_after);
    CHECK_FALSE(intake(503, "Retry-After", "Sat, 5 Dec").retry_after);
    CHECK(intake(503, "Retry-After", "99999999999999").retry_after ==
          DurationMs(86'400'000));
  }
}

TEST_CASE("A client's request is read", "[platform][dialect]") {
  const auto dialect = CreateRequestDialect();
  const fleet::RequestMeta meta = dialect->DecodeRequest(ClientHead());
  CHECK(meta.attempt == RequestId("9c41"));
  CHECK(meta.adapter == fleet::AdapterRef{ModelId("m"), "a3"});
  CHECK(meta.prompt_tokens == 1'460);
  CHECK(meta.deadline == DurationMs(15'000));
  CHECK(meta.last_event_id == "4");
}

TEST_CASE("Headers that only the system may set are dropped",
          "[platform][dialect]") {
  const auto dialect = CreateRequestDialect();
  const std::string out =
      dialect->EncodeRequest(ClientHead(), "{}", ToEngine());
  CHECK(out.starts_with("POST /p/2f?x=1 HTTP/1.1\r\n"));
  CHECK(out.ends_with("\r\n\r\n{}"));
  CHECK(Contains(out, "Attempt-Id: 9c41\r\n"));
  CHECK(Contains(out, "Prompt-Prefix: 5c:800\r\n"));
  CHECK(Contains(out, "Deadline-Ms: 14900\r\n"));
  CHECK(Contains(out, "Expect-Instance: i-7\r\n"));
  CHECK(Contains(out, "Expect-Version: 2\r\n"));
  CHECK(Contains(out, "Request-Priority: 3\r\n"));
  CHECK(Contains(out, "Content-Length: 2\r\n"));
  for (const char* dropped : {"Hold:", "Pin-Ms:", "Kv-From:", "15000", "other",
                              "Last-Event-Id", "Connection:"}) {
    CAPTURE(dropped);
    CHECK_FALSE(Contains(out, dropped));
  }
}

TEST_CASE("A stream goes on after the event that was passed on",
          "[platform][dialect]") {
  const auto dialect = CreateRequestDialect();
  fleet::Forwarding forwarding = ToEngine();
  forwarding.last_event_id = "17";
  CHECK(Contains(dialect->EncodeRequest(ClientHead(), "{}", forwarding),
                 "Last-Event-Id: 17\r\n"));
}

TEST_CASE("An endpoint's response is read", "[platform][dialect]") {
  const auto dialect = CreateRequestDialect();
  fleet::HttpHead head;
  head.status = 503;
  head.fields = {{"Attempt-Id", "9c41"},   {"Not-Run", "1"},
                 {"Server-Load", "3,0,8"}, {"Keep-Alive", "timeout=5, max=100"},
                 {"Instance-Id", "i-7"},   {"Connection", "close"}};
  const fleet::ResponseMeta meta = dialect->DecodeResponse(head);
  CHECK(meta.not_run);
  CHECK(meta.closing);
  CHECK(meta.endpoint == EndpointId("i-7"));
  REQUIRE(meta.load);
  CHECK(meta.load->running == 3);
  CHECK(meta.load->slots == 8);
  CHECK(meta.idle_timeout == DurationMs(5'000));
}

TEST_CASE("Only certain answers say that a request has not run",
          "[platform][dialect]") {
  const auto dialect = CreateRequestDialect();
  fleet::HttpHead head;
  for (const int status : {200, 400, 500, 502, 503, 504}) {
    head.status = status;
    CHECK_FALSE(dialect->DecodeResponse(head).not_run);
  }
  head.status = 421;
  CHECK(dialect->DecodeResponse(head).not_run);
}

TEST_CASE("A response keeps its status, signature and names",
          "[platform][dialect]") {
  const auto dialect = CreateRequestDialect();
  fleet::HttpHead head;
  head.status = 200;
  head.fields = {{"Response-Stamp", "3e1b.07"},
                 {"Connection", "close"},
                 {"Transfer-Encoding", "chunked"},
                 {"Server-Load", "1,2,3"}};
  const std::string out = dialect->EncodeResponseHead(head);
  CHECK(out == "HTTP/1.1 200 OK\r\nResponse-Stamp: 3e1b.07\r\n");
}

TEST_CASE("A refusal tells when to come back", "[platform][dialect]") {
  const auto dialect = CreateRequestDialect();
  fleet::OwnReply reply;
  reply.status = 503;
  reply.attempt = RequestId("9c41");
  reply.retry_after = DurationMs(1'050);
  const std::string out = dialect->EncodeOwnReply(reply);
  CHECK(Contains(out, "HTTP/1.1 503 "));
  CHECK(Contains(out, "Retry-After: 1.050\r\n"));
  CHECK(Contains(out, "Content-Length: 0\r\n\r\n"));
}

TEST_CASE("A time to come back that has passed is now", "[platform][dialect]") {
  // It ended the process: scale-1 of karabag-abone, seed 940638361269.
  const auto dialect = CreateRequestDialect();
  fleet::OwnReply reply;
  reply.retry_after = DurationMs(-1'250);
  CHECK(Contains(dialect->EncodeOwnReply(reply), "Retry-After: 0.000\r\n"));
}

// A name with other bytes could not be told to engines and other nodes, and
// stopped the clock of the node that tried.
TEST_CASE("Names that clients choose become printable text",
          "[platform][dialect]") {
  const auto dialect = CreateRequestDialect();
  fleet::HttpHead head;
  head.fields = {{"Model", "m/a\xff\xc3\x01z"},
                 {"Prompt-Prefix", "5\xff:10,e4:2"}};
  const fleet::RequestMeta meta = dialect->DecodeRequest(head);
  REQUIRE(meta.adapter);
  CHECK(meta.adapter->model == ModelId("m"));
  CHECK(meta.adapter->name == "a???z");
  REQUIRE(meta.shared_parts.size() == 1);
  CHECK(meta.shared_parts[0] == fleet::PromptPartId("5?"));
}

TEST_CASE("A request's digest stays the same for all attempts",
          "[platform][dialect]") {
  const auto dialect = CreateRequestDialect();
  fleet::HttpHead head;
  head.method = "GET";
  head.target = "/a/1?x=2";
  head.fields = {{"Host", "h.example"}, {"Attempt-Id", "1"}};
  const fleet::RequestDigest digest = dialect->Digest(head, "body");
  SECTION("other attempts") {
    head.fields = {
        {"Attempt-Id", "2"}, {"Deadline-Ms", "100"}, {"Host", "h.example"}};
    CHECK(dialect->Digest(head, "body") == digest);
  }
  SECTION("another body") { CHECK(dialect->Digest(head, "b") != digest); }
  SECTION("another path") {
    head.target = "/a/1?x=3";
    CHECK(dialect->Digest(head, "body") != digest);
  }
  SECTION("another caller") {
    head.fields[0].value = "i.example";
    CHECK(dialect->Digest(head, "body") != digest);
  }
  SECTION("another prompt") {
    head.fields.push_back({"Prompt-Prefix", "5c:10"});
    CHECK(dialect->Digest(head, "body") != digest);
  }
  SECTION("texts that read alike when joined") {
    CHECK(fleet::DigestOf({"ab", "c"}) != fleet::DigestOf({"a", "bc"}));
  }
}

}  // namespace yuccamoor::platform
